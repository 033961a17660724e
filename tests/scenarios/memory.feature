Feature: Accelerator memory is never overcommitted

  Scenario Outline: Orders are <fault> while models take turns
    Given a site of 2 nodes, 1 checking and 1 ignoring engines
    And <fault>
    When permit-8b is asked "one" through node-1
    And lease-13b is asked "two" through node-2
    And meter-3b is asked "three" through node-1
    Then no engine was overcommitted
    When permit-8b is asked "four" through node-2
    Then the answer to "four" is whole
    And no engine was overcommitted

    Examples:
      | fault                                          |
      | engine-2 carries out orders twice              |
      | engine-2 carries out orders 0.4 seconds late   |
      | engine-1 loses 1 orders                        |
