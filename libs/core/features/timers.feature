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

  Scenario: Periodic callbacks fall due together
    Given an event loop
    When calls every 0.2, 0.5, 0.1, 0.25, 3.0 s are scheduled 0.007 s apart
    Then their due times are whole steps of 0.05 s apart
    And each is due within its interval, and no more than 0.05 s before its end
    When the loop runs for 0.7 s
    Then their due times are whole steps of 0.05 s apart
    And the calls every 0.1 s were 6 to 7

  Scenario: A periodic callback with an interval off the grid keeps it
    Given an event loop
    When calls every 0.033, 0.05 s are scheduled 0.007 s apart
    Then each is due within its interval, and no more than 0.0001 s before its end
