Feature: Admission control at homes
  Online requests preempt batch requests on the same runners, and a request refused as
  not run was not run.

  Scenario: A burst preempts batch requests, whose answers are still complete
    Given a running "small" fleet
    When batch requests fill every runner
    And 40 online requests of 16 tokens are sent at once
    Then every online answer is complete
    And batch requests were preempted
    When 60 more batch answers have been received
    Then no batch token was lost, duplicated or wrong, and no batch request failed

  Scenario: A request refused as not run was not run
    Given a running "small" fleet
    When 300 online requests of 16 tokens are sent at once with a deadline of 1.5 s
    Then some are refused as not run, with a retry-after time
    And the engines ran exactly the requests that were not refused

  Scenario: Requests whose deadline passes while they wait are refused as not run
    Given a running "small" fleet
    And the engines make no tokens for 40 online requests with a deadline of 6 s
    When 20 online requests of 16 tokens are sent at once with a deadline of 1 s
    Then all are refused as not run, with a retry-after time

  Scenario: The disconnect of a caller releases the slot at the runner
    Given a running "small" fleet
    When 8 callers request 5000 tokens and disconnect after the first
    Then the engines run nothing
