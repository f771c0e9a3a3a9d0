Feature: Callers that leave
  What a caller asked for stops when it leaves, whether it has a slot or waits for one.

  Scenario: Callers that leave hold no slot and no place in the queue of the home
    Given a fleet of 2 hosts on the platform
    And engines "e1"
    And every engine stalls after event 3
    When callers request "/ask/1" at both hosts until 2 have slots and 1 waits
    And all of them leave
    Then no home counts a slot held or a request waiting within 0.5 s
    And engine "e1" is idle within 0.5 s
