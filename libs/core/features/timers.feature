Feature: The timer service
  Time moves only through the timer service, so that a test can move it by hand.

  Scenario: Calls are made in order of their time
    Given a hand-moved clock
    When calls "late" after 3 s and "early" after 1 s are asked for
    And 2 s pass
    Then the calls made are "early"

  Scenario: A repeated call goes on until it is cancelled
    Given a hand-moved clock
    When a call "tick" every 1 s is asked for
    And 3 s pass
    And it is cancelled
    And 3 s pass
    Then the calls made are "tick,tick,tick"
