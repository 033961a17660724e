Feature: What must always hold holds while links of the network are cut

  Scenario Outline: A node is cut off from its peers only, by <cut>
    Given a site of 3 nodes joined by links
    When meter-3b is asked "before" through node-1
    And node-1 is cut off from its peers by <cut>
    And engine-1 gets the label pool="main" through node-2
    Then the last accepted change is in force on every node
    When meter-3b is asked "meanwhile" through node-1
    Then the answer to "meanwhile" is whole
    When space 1 is booked with key "a" through node-1
    And space 1 is booked with key "a" through node-2
    Then it is answered
    And space 1 was booked 1 times
    When all links heal
    Then node-1 hears its peers

    Examples:
      | cut          |
      | a black hole |
      | resets       |

  Scenario Outline: A node is cut off from the object API only, by <cut>
    Given a site of 3 nodes joined by links
    When meter-3b is asked "before" through node-1
    And node-1 is cut off from the object API by <cut>
    And node-1 is cut off from its peers by <cut>
    Then node-1 refuses to admit, "not run", and is not ready
    When the links between node-1 and its peers heal
    Then node-1 is ready
    When engine-1 gets the label pool="main" through node-2
    Then the last accepted change is in force on every node
    When meter-3b is asked "meanwhile" through node-1
    Then the answer to "meanwhile" is whole
    When space 2 is booked with key "b" through node-1
    Then it is refused as store_unavailable with verdict "not run"
    When all links heal
    And space 2 is booked with key "b" through node-1
    Then it is answered
    And space 2 was booked 1 times

    Examples:
      | cut          |
      | a black hole |
      | resets       |

  Scenario Outline: A node is cut off from its peers and the object API, by <cut>
    Given a site of 3 nodes joined by links
    When permit-8b is asked "before" through node-1
    And node-1 is cut off from the object API by <cut>
    And node-1 is cut off from its peers by <cut>
    Then node-1 refuses to admit, "not run", and is not ready
    And the other nodes own every engine
    When engine-1 gets the label pool="main" through node-2
    And lease-13b is asked "meanwhile" through node-2
    Then the answer to "meanwhile" is whole
    And node-1 still has an earlier generation
    When all links heal
    Then the last accepted change is in force on every node
    And node-1 is ready
    When permit-8b is asked "after" through node-1
    Then the answer to "after" is whole
    And no engine was overcommitted

    Examples:
      | cut          |
      | a black hole |
      | resets       |

  Scenario: A node hears its peers, but they do not hear it
    Given a site of 3 nodes joined by links
    When meter-3b is asked "before" through node-1
    And nothing that node-1 sends reaches its peers
    And engine-1 gets the label pool="main" through node-2
    Then the last accepted change is in force on every node
    When meter-3b is asked "meanwhile" through node-1
    Then the answer to "meanwhile" is whole
    And a change through node-1 is refused as unheard_nodes
    When all links heal
    Then node-1 hears its peers

  Scenario Outline: Nothing that a booking's node hears of the object API is heard
    Given a site of 3 nodes joined by links
    When the object API's answers to node-1 are held
    And space 3 is booked with key "c" through node-1
    Then it is refused as store_unavailable with verdict "not run"
    When all links heal
    And space 3 is booked with key "c" through <node>
    Then it is answered
    And space 3 was booked 1 times

    Examples:
      | node   |
      | node-1 |
      | node-2 |

  Scenario: A node is cut off from an engine in the middle of an answer
    Given a site of 2 nodes joined by links
    When meter-3b is asked for 400 tokens of "long story" via node-1
    And an engine runs "long story"
    And node-1 is cut off from the engine that runs "long story"
    Then the background answer has 400 tokens of "long story"
    When all links heal
    Then no engine was overcommitted
