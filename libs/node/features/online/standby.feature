Feature: Standbys of requests whose runners are silent
  An entry asks other homes for a place while the silent runner keeps the request.

  Scenario: The only runner of a service is not its own standby
    Given the runner "a" answers after 1.0 s and counts as silent after 0.1 s
    When a request is sent
    Then its answer is of "a"
    And the runners that got it are "a"

  Scenario: A search goes on when the retry budget has room again
    Given the runner "a" answers after 30.0 s and counts as silent after 0.1 s
    And the runner "b" answers after 0.0 s and counts as silent after 0.1 s
    And an empty retry budget that is filled after 0.4 s
    When a request is sent
    Then its answer is of "b"

  Scenario: A search goes on when the request is no longer suspected of crashes
    Given the runner "a" answers after 30.0 s and counts as silent after 0.1 s
    And the runner "b" answers after 0.0 s and counts as silent after 0.1 s
    And the request is suspected of crashes from 0.05 s until 0.4 s
    When a request is sent
    Then its answer is of "b"

  Scenario: Searches leave other requests their retries
    Given the runner "a" answers after 2.0 s and counts as silent after 0.1 s
    And the runner "b" refuses all
    When 100 requests are sent
    Then each answer is of "a"
    And at least a fifth of the retry budget was left at any time

  Scenario: A search that fails unexpectedly ends no request
    Given the runner "a" answers after 1.0 s and counts as silent after 0.1 s
    And the runner "b" fails with an unexpected error
    When a request is sent
    Then its answer is of "a"

  Scenario: A caller leaves while a standby takes over
    When a caller leaves while the silent attempt is closed for its standby
    Then the standby is closed

  Scenario Outline: Entries of a build that knows no silences
    When an engine is silent with a request whose entry <knows> silences
    Then the home tells of "<message>"

    Examples:
      | knows         | message      |
      | knows         | RunnerSilent |
      | does not know | runner_lost  |
