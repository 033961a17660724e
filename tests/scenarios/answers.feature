Feature: Each caller receives the complete answer to its own request

  Scenario: The engine is killed while it generates the answer
    Given a site of 2 nodes
    When prompt "long story" for 400 tokens is sent to meter-3b through node-1 in the background
    And an engine has received "long story"
    And the engine that received "long story" is killed
    Then the background answer has 400 tokens of "long story"

  Scenario: A node that receives SIGTERM completes requests in flight
    Given a site of 2 nodes
    When prompt "parting words" for 400 tokens is sent to meter-3b through node-1 in the background
    And an engine has received "parting words"
    And node-1 receives SIGTERM
    Then the background answer has 400 tokens of "parting words"
    And node-1 exits with code 0
