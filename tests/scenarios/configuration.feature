Feature: A configuration change, once accepted, is in force everywhere and stays

  Scenario: Two operators change the same engine at the same moment
    Given a site of 3 nodes
    When two operators change engine-1 over the same generation
    Then one of them is accepted and the other sees a conflict
    And the last accepted change is in force on every node

  Scenario: An accepted change outlives every node
    Given a site of 3 nodes
    When engine-1 gets the label pool="spare" through node-1
    And all nodes are replaced by new processes
    Then the last accepted change is in force on every node

  Scenario: The answer of the accepting write is lost
    Given a site of 3 nodes
    And the object API loses 1 answers below "configuration/heads/"
    When engine-1 gets the label pool="spare" through node-2
    Then the last accepted change is in force on every node
