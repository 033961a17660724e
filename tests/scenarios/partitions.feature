Feature: Guarantees hold during network partitions

  Scenario Outline: A node is partitioned from its peers only, by <fault>
    Given a site of 3 nodes connected by links
    When prompt "before" is sent to meter-3b through node-1
    And node-1 is partitioned from its peers by <fault>
    And the label pool="main" is set on engine-1 through node-2
    Then the last accepted change is in force on every node
    When prompt "meanwhile" is sent to meter-3b through node-1
    Then the answer to "meanwhile" is complete
    When space 1 is booked with key "a" through node-1
    And space 1 is booked with key "a" through node-2
    Then the request succeeds
    And space 1 was booked 1 times
    When all links are restored
    Then node-1 receives gossip from its peers

    Examples:
      | fault        |
      | a black hole |
      | resets       |

  Scenario: The owner of the only engine is partitioned from its peers only
    Given a site of 3 nodes connected by links and 1 engine
    When prompt "before" is sent to permit-8b through node-1
    And the owner of engine-1 is partitioned from its peers
    Then the remaining nodes answer for every model
    And no engine was overcommitted
    When all links are restored
    Then every model answers through node-1
    And every model answers through node-2
    And no engine was overcommitted

  Scenario Outline: A node is partitioned from the object API only, by <fault>
    Given a site of 3 nodes connected by links
    When prompt "before" is sent to meter-3b through node-1
    And node-1 is partitioned from the object API by <fault>
    And node-1 is partitioned from its peers by <fault>
    Then node-1 is not ready and refuses requests as "not run"
    When the links between node-1 and its peers are restored
    Then node-1 is ready
    When the label pool="main" is set on engine-1 through node-2
    Then the last accepted change is in force on every node
    When prompt "meanwhile" is sent to meter-3b through node-1
    Then the answer to "meanwhile" is complete
    When space 2 is booked with key "b" through node-1
    Then the request is refused as store_unavailable with verdict "not run"
    When all links are restored
    And space 2 is booked with key "b" through node-1
    Then the request succeeds
    And space 2 was booked 1 times

    Examples:
      | fault        |
      | a black hole |
      | resets       |

  Scenario Outline: A node is partitioned from its peers and the object API, by <fault>
    Given a site of 3 nodes connected by links
    When prompt "before" is sent to permit-8b through node-1
    And node-1 is partitioned from the object API by <fault>
    And node-1 is partitioned from its peers by <fault>
    Then node-1 is not ready and refuses requests as "not run"
    And the other nodes own every engine
    When the label pool="main" is set on engine-1 through node-2
    And prompt "meanwhile" is sent to lease-13b through node-2
    Then the answer to "meanwhile" is complete
    And node-1 still has an earlier generation
    When all links are restored
    Then the last accepted change is in force on every node
    And node-1 is ready
    When prompt "after" is sent to permit-8b through node-1
    Then the answer to "after" is complete
    And no engine was overcommitted

    Examples:
      | fault        |
      | a black hole |
      | resets       |

  Scenario: A node receives from its peers, but they receive nothing from it
    Given a site of 3 nodes connected by links
    When prompt "before" is sent to meter-3b through node-1
    And the peers of node-1 receive nothing from it
    And the label pool="main" is set on engine-1 through node-2
    Then the last accepted change is in force on every node
    When prompt "meanwhile" is sent to meter-3b through node-1
    Then the answer to "meanwhile" is complete
    And a change through node-1 is refused as unheard_nodes
    When all links are restored
    Then node-1 receives gossip from its peers

  Scenario Outline: The object API receives calls of a booking, but its answers are held back
    Given a site of 3 nodes connected by links
    When the object API's answers to node-1 are held back
    And space 3 is booked with key "c" through node-1
    Then the request is refused as store_unavailable with verdict "not run"
    When all links are restored
    And space 3 is booked with key "c" through <node>
    Then the request succeeds
    And space 3 was booked 1 times

    Examples:
      | node   |
      | node-1 |
      | node-2 |

  Scenario: A node is partitioned from an engine that generates an answer
    Given a site of 2 nodes connected by links
    When prompt "long story" for 400 tokens is sent to meter-3b through node-1 in the background
    And an engine has received "long story"
    And node-1 is partitioned from the engine that received "long story"
    Then the background answer has 400 tokens of "long story"
    When all links are restored
    Then no engine was overcommitted
