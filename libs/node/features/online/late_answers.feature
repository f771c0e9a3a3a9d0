Feature: The last word of a home at a request's deadline
  What a home says at the deadline decides the outcome, not how busy the entry's loop is.

  Scenario: The loop is busy from before the deadline until after the grace
    When a home refuses a request at its deadline while the loop is busy until after the grace
    Then the refusal of the home is what the entry gets

  Scenario: A home says nothing
    When a home says nothing at the deadline
    Then the entry gets a timeout
