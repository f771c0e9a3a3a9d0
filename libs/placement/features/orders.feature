Feature: Orders to engines
  Orders state what is wanted, only where it isn't so, and bounded in number.

  Scenario: Engines that do as wanted get no order
    Given 3 engines that are "ready" as wanted
    Then in 60 s no orders are sent

  Scenario: An engine that restarted empty is ordered again
    Given 3 engines that are "ready" as wanted
    When one restarts empty
    Then in 1 s 1 order is sent

  Scenario: An order without effect is repeated ever more seldom
    Given 1 engine that is "empty" and never changes
    Then in 120 s between 4 and 8 orders are sent

  Scenario: Orders are bounded per second
    Given 1900 engines that are "empty" and never change
    Then in 5 s at most 120 orders are sent
    And in 120 s every engine was ordered

  Scenario: An engine that nobody tells of is read back
    Given 2 engines that nobody tells of
    Then in 1 s 2 read-backs and no orders are sent

  Scenario: An engine that serves is ordered elsewhere when it has drained
    Given 1 engine that serves another model with 2 requests in flight
    Then in 10 s no orders are sent
    When its requests end
    Then in 1 s 1 order is sent

  Scenario: An engine that never drains is ordered after a bound
    Given 1 engine that serves another model with 2 requests in flight
    Then in 22 s 1 order is sent

  Scenario: An engine that ignores fencing numbers waits for the old holder's pauses
    Given 1 engine that is "empty" and ignores fencing numbers
    Then in 9 s no orders are sent
    And in 2 s 1 order is sent

  Scenario: States that nobody repeats are unknown, and engines out of reach are lost
    Given an engine told as "unreachable" for 12 s among 3
    Then it is "lost"
    Given an engine told as "ready" and then not for 6 s
    Then it is "unknown"

  Scenario: When most engines seem lost nothing is moved
    Given every one of 4 engines told as "unreachable" for 12 s
    Then none is "lost"

  Scenario: Demand rises at once and falls late
    Given a service planned for 5 requests a runner that keeps runners for 60 s
    When its load is 24 for 60 s
    Then it wants 5 runners
    When its load is 2 for 50 s
    Then it wants 5 runners
    When its load is 2 for 40 s
    Then it wants 1 runners

  Scenario: Equal states have an equal digest, so that they are told once
    Given 3 engines that are "ready" as wanted
    Then their digest is the same in any order
    When one restarts empty
    Then their digest is another one
