Feature: Nodes start, and zones fail, while other parts are unavailable

  Scenario: A node starts without access to the object API
    Given a site of 3 nodes connected by links
    When prompt "before" is sent to meter-3b through node-1
    And node-3 is killed
    And node-3 is partitioned from the object API by resets
    And the label pool="main" is set on engine-1 through node-1
    And node-3 restarts
    Then the last accepted change is in force on every node
    When prompt "meanwhile" is sent to meter-3b through node-3
    Then the answer to "meanwhile" is complete
    When all links are restored
    And space 1 is booked with key "a" through node-3
    Then the request succeeds
    And space 1 was booked 1 times

  Scenario: A node starts without access to the object API or its peers
    Given a site of 3 nodes connected by links
    When prompt "before" is sent to meter-3b through node-1
    And node-3 is killed
    And node-3 is partitioned from the object API by resets
    And node-3 is partitioned from its peers by resets
    And the label pool="main" is set on engine-1 through node-1
    And node-3 starts without becoming ready
    Then node-3 reports "no configuration yet, object API silent"
    When prompt "too early" is sent to meter-3b through node-3
    Then the request is refused as stale_configuration with verdict "not run"
    When all links are restored
    Then node-3 is ready
    And the last accepted change is in force on every node
    When prompt "later" is sent to meter-3b through node-3
    Then the answer to "later" is complete

  Scenario: All nodes are restarted while the object API is unavailable
    Given a site of 3 nodes connected by links
    When prompt "before" is sent to permit-8b through node-1
    And the object API is unavailable
    And all nodes are killed
    And all nodes start without becoming ready
    Then node-1 reports "no configuration yet, object API silent"
    When the object API is available again
    Then node-1 is ready
    And node-2 is ready
    And node-3 is ready
    And every model answers through node-2
    And no engine was overcommitted

  Scenario Outline: A zone fails with its node and engine
    Given a site of 3 nodes, <checking> checking and <ignoring> ignoring engines
    When prompt "one" is sent to permit-8b through node-1
    And prompt "two" is sent to lease-13b through node-2
    And prompt "three" is sent to meter-3b through node-3
    And node-1 and engine-1 are killed at the same time
    Then every model answers through node-2
    And every model answers through node-3
    And no engine was overcommitted

    Examples:
      | checking | ignoring |
      | 0        | 3        |
      | 3        | 0        |
