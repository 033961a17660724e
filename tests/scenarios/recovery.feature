Feature: Nodes that start, and whole zones that go, whatever else is out

  Scenario: A node starts that cannot reach the object API
    Given a site of 3 nodes joined by links
    When meter-3b is asked "before" through node-1
    And node-3 is killed
    And node-3 is cut off from the object API by resets
    And engine-1 gets the label pool="main" through node-1
    And node-3 starts again
    Then the last accepted change is in force on every node
    When meter-3b is asked "meanwhile" through node-3
    Then the answer to "meanwhile" is whole
    When all links heal
    And space 1 is booked with key "a" through node-3
    Then it is answered
    And space 1 was booked 1 times

  Scenario: A node starts that reaches neither the object API nor a peer
    Given a site of 3 nodes joined by links
    When meter-3b is asked "before" through node-1
    And node-3 is killed
    And node-3 is cut off from the object API by resets
    And node-3 is cut off from its peers by resets
    And engine-1 gets the label pool="main" through node-1
    And node-3 comes up without being ready
    Then node-3 says "no configuration yet, object API silent"
    When meter-3b is asked "too early" through node-3
    Then it is refused as stale_configuration with verdict "not run"
    When all links heal
    Then node-3 is ready
    And the last accepted change is in force on every node
    When meter-3b is asked "later" through node-3
    Then the answer to "later" is whole

  Scenario: All nodes are replaced while the object API is out
    Given a site of 3 nodes joined by links
    When permit-8b is asked "before" through node-1
    And the object API is out
    And all nodes are killed
    And all nodes come up without being ready
    Then node-1 says "no configuration yet, object API silent"
    When the object API is back
    Then node-1 is ready
    And node-2 is ready
    And node-3 is ready
    And every model answers through node-2
    And no engine was overcommitted

  Scenario Outline: A zone is lost with its node and engine
    Given a site of 3 nodes, <checking> checking and <ignoring> ignoring engines
    When permit-8b is asked "one" through node-1
    And lease-13b is asked "two" through node-2
    And meter-3b is asked "three" through node-3
    And node-1 and engine-1 are killed at once
    Then every model answers through node-2
    And every model answers through node-3
    And no engine was overcommitted

    Examples:
      | checking | ignoring |
      | 0        | 3        |
      | 3        | 0        |
