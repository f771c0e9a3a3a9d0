Feature: Orders to engines, as separate processes

  Scenario: Loads stay within the weight store's rate
    Given a fleet whose weight store carries 1 load at a time
    Then 3 engines get ready within 30 s, and never more than 1 loads

  Scenario: A region at rest sends no orders and writes no plan
    Given a running "small" fleet
    Then in 6 s no engine gets an order and the plan is not written
