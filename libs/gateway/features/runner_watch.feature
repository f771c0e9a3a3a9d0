Feature: The watch over a silent runner and the search for its replacement
  Time is simulated.

  Scenario Outline: A wait that lasts longer than its limit is reported once
    Given a timer of silences
    When waits of <waits> s begin one after another, with a limit of 0.4 s
    Then <reports> silences are reported

    Examples:
      | waits         | reports |
      | 0.39          | 0       |
      | 0.41          | 1       |
      | 2.0           | 1       |
      | 0.3, 0.3, 0.3 | 0       |
      | 0.3, 0.5, 0.3 | 1       |
      | 0.5, 0.5, 0.3 | 2       |

  Scenario: A shorter limit holds although a longer one was set before
    Given a timer of silences
    When waits of 0.1 s begin one after another, with a limit of 2.0 s
    And waits of 0.41 s begin one after another, with a limit of 0.4 s
    Then 1 silences are reported

  Scenario: Waits that end in time share few timers
    Given a timer of silences
    When 1000 waits of 0.01 s begin one after another, with a limit of 0.4 s
    Then 0 silences are reported
    And at most 30 timers were scheduled

  Scenario: No silence is reported when nothing is waited for, or after the end
    Given a timer of silences
    When a wait with a limit of 0.4 s ends after 0.1 s, 1.0 s pass
    Then 0 silences are reported
    When a wait with a limit of 0.4 s begins, the timer is closed and 1.0 s pass
    Then 0 silences are reported

  Scenario: A silent runner is left once its replacement is ready
    Given a watch over a runner, with a search for another one
    When the runner is silent for 0.5 s
    Then the runner keeps the request
    When the search finds "e2"
    Then the runner is left as "silent", and what it sends is not waited for any more
    And the replacement is "e2", and nothing was released

  Scenario: A runner that is heard again keeps the request, and the search ends
    Given a watch over a runner, with a search for another one
    When the runner is silent for 0.5 s
    And the runner sends "event"
    Then "event" is received, and the runner was heard again
    And the search was cancelled, there is no replacement, and nothing was released

  Scenario: A replacement that is found as the runner is heard again is released
    Given a watch over a runner, with a search for another one
    When the runner is silent for 0.5 s
    And as the search finds "e2", the runner sends "event"
    Then "event" is received, and the runner was heard again
    And there is no replacement, and "e2" was released

  Scenario: A replacement that is found as the search is cancelled is released
    Given a watch over a runner, with a search that ends with "e2" when it is cancelled
    When the runner is silent for 0.5 s
    And the runner sends "event"
    Then "event" is received, and the runner was heard again
    And there is no replacement, and "e2" was released

  Scenario: A runner keeps the request when the search fails
    Given a watch over a runner, with a search for another one
    When the runner is silent for 0.5 s
    And the search fails
    And the runner sends "event"
    Then "event" is received, and the runner was heard again
    And there is no replacement, and nothing was released

  Scenario: A runner that may not be left keeps the request
    Given a watch over a runner that may not be left
    When the runner is silent for 9.0 s
    And the runner sends "event"
    Then "event" is received, and the runner was heard again

  Scenario: A silent runner that fails ends the search
    Given a watch over a runner, with a search for another one
    When the runner is silent for 0.5 s
    And the runner fails with "stream_cut"
    Then the runner has failed with "stream_cut"
    And the search was cancelled, there is no replacement, and nothing was released

  Scenario: The search ends with a request that ends
    Given a watch over a runner, with a search for another one
    When the runner is silent for 0.5 s
    And the request is abandoned and the watch is closed
    Then the search was cancelled, there is no replacement, and nothing was released

  Scenario: A replacement that is not taken is released with the request
    Given a watch over a runner, with a search for another one
    When the runner is silent for 0.5 s
    And the search finds "e2"
    And the watch is closed
    Then there is no replacement, and "e2" was released
