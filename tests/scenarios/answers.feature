Feature: Each caller receives the whole answer to their own request

  Scenario: The engine is killed in the middle of the answer
    Given a site of 2 nodes
    When meter-3b is asked for 400 tokens of "long story" via node-1
    And an engine runs "long story"
    And the engine that runs "long story" is killed
    Then the background answer has 400 tokens of "long story"

  Scenario: A node told to stop finishes what is in flight
    Given a site of 2 nodes
    When meter-3b is asked for 400 tokens of "parting words" via node-1
    And an engine runs "parting words"
    And node-1 is told to stop
    Then the background answer has 400 tokens of "parting words"
    And node-1 exits with 0
