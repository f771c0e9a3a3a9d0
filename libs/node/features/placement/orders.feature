Feature: Orders to engines, with separate processes

  Scenario: Concurrent loads stay within the weight store's rate
    Given a fleet whose weight store supports 1 load at a time
    Then 3 engines become ready within 30 s, with at most 1 loading at a time

  Scenario: An idle region sends no orders and writes no plan
    Given a running "small" fleet
    Then for 6 s no engine receives an order and the plan is not written

  Scenario Outline: Engines that stand still for a while keep their models, and no other loads one
    Given a running "idle-engines" fleet
    And "caddie-llm" has 3 ready runners within 5 s
    Then for 8 s, with <which> still for <still_s> s of them, no engine is changed

    Examples:
      | which            | still_s |
      | every engine     | 2.5     |
      | one ready engine | 2.5     |
