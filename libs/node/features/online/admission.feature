Feature: Admission by homes
  Online requests go before batch on the same runners, and refusals are true.

  Scenario: Batch gives way to a burst and its answers stay whole
    Given a running "small" fleet
    When batch requests fill every runner
    And 40 online requests of 16 tokens come at once
    Then every online answer is whole
    And batch was preempted
    When 60 more batch answers have come
    Then no batch token was lost, doubled or wrong, and no batch request failed

  Scenario: What is refused as not run did not run
    Given a running "small" fleet
    When 300 online requests of 16 tokens come at once, due in 1.5 s
    Then some are refused as not run, with a time to try again
    And the engines ran just the requests that were not refused

  Scenario: A caller who hangs up frees the slot at the runner
    Given a running "small" fleet
    When 8 callers ask for 5000 tokens and hang up after the first
    Then the engines run nothing
