Feature: Retries at the entry host
  Only one layer retries, within a budget; the outcome returned covers every attempt.

  Scenario Outline: Whether a failed attempt is retried
    Given a request that is <kind>, with 10 s left
    When an attempt fails as "<outcome>" for "<reason>"
    Then the next step is "<step>"

    Examples:
      | kind           | outcome | reason             | step    |
      | idempotent     | unknown | runner_lost        | retry   |
      | idempotent     | not_run | overloaded         | give up |
      | idempotent     | not_run | quarantined        | give up |
      | not idempotent | not_run | runner_unreachable | retry   |
      | not idempotent | unknown | link_lost          | give up |
      | not idempotent | ran     | runner_refused     | give up |

  Scenario: A refusal after a lost attempt is not reported as "not run"
    Given a request that is idempotent, with 10 s left
    When an attempt fails as "unknown" for "link_lost"
    And an attempt fails as "not_run" for "overloaded"
    Then the caller gets the outcome "unknown"

  Scenario: A non-idempotent request is not retried after an unknown outcome
    Given a request that is not idempotent, with 10 s left
    When an attempt fails as "not_run" for "peer_unreachable"
    And an attempt fails as "unknown" for "runner_lost"
    Then the caller gets the outcome "unknown"

  Scenario: Retries are bounded by a share of the requests
    When 2000 requests fail until they are given up, with seed 7
    Then at most 500 retries were made

  Scenario: No retry starts after the deadline
    Given a request that is idempotent, with 0.0 s left
    When an attempt fails as "unknown" for "runner_lost"
    Then the next step is "give up"
