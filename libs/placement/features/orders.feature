Feature: Orders to engines
  Orders go only to engines that deviate from the plan, at a limited rate.

  Scenario: Engines that follow the plan get no order
    Given 3 engines that are "ready" as planned
    Then in 60 s no orders are sent

  Scenario: An engine that restarted empty is ordered again
    Given 3 engines that are "ready" as planned
    When one restarts empty
    Then in 1 s 1 order is sent

  Scenario: An order without effect is repeated with exponential backoff
    Given 1 engine that is "empty" and never changes
    Then in 120 s between 4 and 8 orders are sent

  Scenario: The rate of orders is limited, and every engine eventually gets one
    Given 1900 engines that are "empty" and never change
    Then in 5 s at most 120 orders are sent
    And in 120 s every engine was ordered

  Scenario: An engine without a reported state is read back
    Given 2 engines without a reported state
    Then in 1 s 2 read-backs and no orders are sent

  Scenario: A serving engine gets its order when it has drained
    Given 1 engine that serves another model with 2 requests in flight
    Then in 10 s no orders are sent
    When its requests end
    Then in 1 s 1 order is sent

  Scenario: An engine that never drains gets its order after the drain timeout
    Given 1 engine that serves another model with 2 requests in flight
    Then in 22 s 1 order is sent

  Scenario: An engine without fencing gets no order while a former holder may send
    Given 1 engine that is "empty" and ignores fencing tokens
    Then in 9 s no orders are sent
    And in 2 s 1 order is sent

  Scenario: States not reported again become unknown, unreachable engines lost
    Given an engine reported "unreachable" for 12 s among 3
    Then it is "lost"
    Given an engine reported "ready" once and then not for 6 s
    Then it is "unknown"

  Scenario: When most engines are unreachable none counts as lost
    Given every one of 4 engines reported "unreachable" for 12 s
    Then none is "lost"

  Scenario: Required runners rise with the load at once and fall after a delay
    Given a service with 5 requests per runner and a scale-down delay of 60 s
    When its load is 24 for 60 s
    Then it requires 5 runners
    When its load is 2 for 50 s
    Then it requires 5 runners
    When its load is 2 for 40 s
    Then it requires 1 runners

  Scenario: Equal states have equal digests, so that they are not sent again
    Given 3 engines that are "ready" as planned
    Then their digest is the same in any order
    When one restarts empty
    Then their digest has changed
