Feature: Orders to engines, with separate processes

  Scenario: Concurrent loads stay within the weight store's rate
    Given a fleet whose weight store supports 1 load at a time
    Then 3 engines become ready within 30 s, with at most 1 loading at a time

  Scenario: An idle region sends no orders and writes no plan
    Given a running "small" fleet
    Then for 6 s no engine receives an order and the plan is not written
