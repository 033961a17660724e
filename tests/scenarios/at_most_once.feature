Feature: A booking, charge, claim or part order runs at most once

  Scenario: A completed booking is resent through another node
    Given a site of 2 nodes
    When space 1 is booked with key "a" through node-1
    And space 1 is booked with key "a" through node-2
    Then the request succeeds
    And space 1 was booked 1 times

  Scenario: The node is killed while the booking runs, and the booking is resent
    Given a site of 2 nodes
    And bookings-1 answers after 2 seconds
    When space 2 is booked with key "b" through node-1 in the background
    And the service has started the booking of space 2
    And node-1 is killed
    And space 2 is booked with key "b" through node-2
    Then the request is refused as outcome_unknown with verdict "may have run"
    And space 2 was booked 1 times

  Scenario: The answer to the write of the claim is lost
    Given a site of 2 nodes
    And the object API loses 1 answers to writes below "claims/"
    When space 3 is booked with key "c" through node-1
    Then the request succeeds
    And space 3 was booked 1 times

  Scenario: The object API is unavailable
    Given a site of 2 nodes
    When the object API is unavailable
    And space 4 is booked with key "d" through node-1
    Then the request is refused as store_unavailable with verdict "not run"
    And space 4 was booked 0 times
    When the object API is available again
    And space 4 is booked with key "d" through node-2
    Then the request succeeds
    And space 4 was booked 1 times

  Scenario: The service executes the booking and breaks the connection
    Given a site of 2 nodes
    And bookings-1 executes the next 1 calls but breaks the connection
    When space 5 is booked with key "e" through node-1
    Then the request is refused as endpoint_failed with verdict "may have run"
    When space 5 is booked with key "e" through node-2
    Then the request is refused as outcome_unknown with verdict "may have run"
    And space 5 was booked 1 times

  Scenario: All nodes are restarted between the booking and its resend
    Given a site of 2 nodes
    When space 6 is booked with key "f" through node-1
    And all nodes are restarted
    And space 6 is booked with key "f" through node-2
    Then the request succeeds
    And space 6 was booked 1 times
