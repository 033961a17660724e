Feature: An accepted configuration change is applied on every node and persists

  Scenario: Two operators change the same engine at the same time
    Given a site of 3 nodes
    When two operators change engine-1 based on the same generation
    Then one change is accepted and the other is refused as a conflict
    And the last accepted change is in force on every node

  Scenario: An accepted change survives a restart of all nodes
    Given a site of 3 nodes
    When the label pool="spare" is set on engine-1 through node-1
    And all nodes are restarted
    Then the last accepted change is in force on every node

  Scenario: The answer to the write that accepts the change is lost
    Given a site of 3 nodes
    And the object API loses 1 answers to writes below "configuration/heads/"
    When the label pool="spare" is set on engine-1 through node-2
    Then the last accepted change is in force on every node
