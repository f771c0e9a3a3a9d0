Feature: Rate limits that runners name
  The home of a service gives a runner no more requests than the limit it named.

  Scenario: A limited runner is used up to its limit, the rest goes elsewhere
    Given a pool with runners "a:8,b:8"
    When runner "a" named a limit of 2 a second 0 s ago
    And 10 requests a second that each last 0.3 s ask for slots for 10 s
    Then runner "a" got between 18 and 24 requests in 10 s and at most 17 in any 4 s
    And no request was refused

  Scenario: What no runner takes is refused at once with a retry delay
    Given a pool with runners "a:8,b:8"
    When runner "a" named a limit of 2 a second 0 s ago
    And runner "b" named a limit of 1 a second 0 s ago
    And 30 requests a second that each last 0.3 s ask for slots for 10 s
    Then runner "a" got between 18 and 24 requests in 10 s and at most 17 in any 4 s
    And runner "b" got between 9 and 13 requests in 10 s and at most 11 in any 4 s
    And all requests were granted or refused within 0.8 s

  Scenario: What a new limit leaves without a start in time is refused at once
    Given a pool with runners "a:4"
    When online requests "r1,r2,r3,r4" ask for slots
    And repeated online requests "p1,p2,p3,p4" ask for slots
    And runner "a" named a limit of 0.8 a second 0 s ago
    And 0.1 s passes
    Then "p2,p3,p4" are refused with a retry delay

  Scenario: A wait is forecast by the times at which tokens come
    Then the forecast of waits for tokens is exact to 2 ms for random limits

  Scenario: The newest word of a runner holds, in whatever order hosts tell it
    Given a pool with runners "a:8"
    When runner "a" named a limit of 2 a second 1 s ago
    And runner "a" named no limit 0.2 s ago
    And runner "a" named a limit of 3 a second 0.6 s ago
    And online requests "r1,r2,r3,r4,r5" ask for slots
    Then "r1,r2,r3,r4,r5" are granted

  Scenario: A limit that no living host but the home was told ends with the next answer
    Given a pool with runners "a:8"
    When runner "a" named a limit of 1 a second 100 s ago
    And the host that told it is gone, and another one is granted slots
    And an answer of "a" to it names no limit, and it asks for "r1,r2,r3,r4,r5"
    Then "r1,r2,r3,r4,r5" are granted

  Scenario: A runner that takes next to nothing is tried now and then
    Given a pool with runners "a:8"
    When runner "a" named a limit of 0 a second 0 s ago
    And 10 requests a second that each last 0.3 s ask for slots for 20 s
    Then runner "a" got between 4 and 6 requests in 20 s and at most 5 in any 4 s

  Scenario: Batch leaves a request of the limit to online
    Given a pool with runners "a:8"
    When runner "a" named a limit of 2 a second 0 s ago
    And the pool waits for 0.8 s
    And batch requests "b1" ask for slots
    Then "b1" are not granted
    When online requests "r1" ask for slots
    Then "r1" are granted

  Scenario: Online goes to other runners while batch waits for the limited one
    Given a pool with runners "a:8,b:2"
    When runner "a" named a limit of 2 a second 0 s ago
    And the pool waits for 1.1 s
    And batch requests "b1,b2,b3" ask for slots
    And online requests "r1" ask for slots
    Then batch request "b1" got runner "a"
    And online request "r1" got runner "b"

  Scenario Outline: Random limits, hosts, homes and loads
    Then in 30 random runs with <n_hosts> hosts no runner gets more than it named

    Examples:
      | n_hosts |
      | 2       |
      | 9       |
