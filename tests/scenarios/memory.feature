Feature: Accelerator memory is never overcommitted

  Scenario Outline: Models replace each other while <fault>
    Given a site of 2 nodes, 1 checking and 1 ignoring engines
    And <fault>
    When prompt "one" is sent to permit-8b through node-1
    And prompt "two" is sent to lease-13b through node-2
    And prompt "three" is sent to meter-3b through node-1
    Then no engine was overcommitted
    When prompt "four" is sent to permit-8b through node-2
    Then the answer to "four" is complete
    And no engine was overcommitted

    Examples:
      | fault                                     |
      | engine-2 executes each order twice        |
      | engine-2 executes orders 0.4 seconds late |
      | engine-1 loses 1 orders                   |
