Feature: The timer service
  All time comes from the timer service, so that a test can use a simulated clock.

  Scenario: Callbacks run in order of their due times
    Given a simulated clock
    When calls "late" after 3 s and "early" after 1 s are scheduled
    And 2 s pass
    Then the calls are "early"

  Scenario: A periodic callback runs until it is cancelled
    Given a simulated clock
    When a call "tick" every 1 s is scheduled
    And 3 s pass
    And it is cancelled
    And 3 s pass
    Then the calls are "tick,tick,tick"
