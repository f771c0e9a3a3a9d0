Feature: The client of runners
  An answer is believed only if it is proved to be that to the request.

  Scenario Outline: An answer that is not to the request is not believed on a kept connection
    Given a client of the runner "r1" whose answers are "<answer>"
    When the request "q1" is sent to it
    Then the request failed with outcome "not_run"
    When the request "q2" is sent to it
    Then the request failed with outcome "unknown"
    And no limit of the runner was learned from the last answer
    And the next request to the runner uses a new connection

    Examples:
      | answer                          |
      | the first refusal once more     |
      | a refusal without an id         |
      | a misdirection without an id    |
      | a bad request without an id     |
      | an error without an id          |

  Scenario: A refusal that echoes the request's id is believed on a kept connection
    Given a client of the runner "r1" whose answers are "a refusal of its own"
    When the request "q1" is sent to it
    And the request "q2" is sent to it
    Then the request failed with outcome "not_run"

  Scenario: A request without an id is sent on a new connection, where its refusal is proved
    Given a client of the runner "r1" whose answers are "a refusal without an id"
    When the request "q1" is sent to it
    And the request "" is sent to it
    Then the request failed with outcome "not_run"
    And the runner has had 2 connections

  Scenario: A success without the runner's stamp is not believed
    Given a client of the runner "r1" whose answers are "a success without a stamp"
    When the request "q1" is sent to it
    And the request "q2" is sent to it
    Then the request failed with outcome "unknown"

  Scenario: A refusal that waits on an idle connection ends it before a request is sent
    Given a client of the runner "r1" whose answers are "the first refusal once more"
    When the request "q1" is sent to it
    And the runner writes the refusal of "q1" again right before "q2" is sent
    Then the request failed with outcome "not_run"
    And the runner has had 2 connections

  Scenario: A repeated refusal is not taken for a report, and its limit is not believed
    Given a client of the runner "r1" whose answers are "the first refusal once more"
    When the request "q1" is sent to it
    And the runner's report is fetched
    Then the report failed
    And no limit of the runner was learned from the last answer
    And the next request to the runner uses a new connection

  Scenario: A runner is asked for its process once on each connection
    Given a client of an engine that was born at 1000
    When 5 requests to its listed process are sent one after another
    Then all were answered, and the engine was asked for 1 report
    When 3 requests to its listed process are sent at once
    Then all were answered, and the engine was asked for 3 reports

  Scenario: A request does not reach a process that is not the one listed
    Given a client of an engine that was born at 1000
    When 1 requests to its listed process are sent one after another
    And the engine starts again at 2000
    And 2 requests to its listed process are sent one after another
    Then all failed as not run with "other_process"

  Scenario Outline: A request does not reach a process that does not tell its start
    Given a client of an engine that was born at 1000
    When its reports are "<reports>"
    And 1 requests to its listed process are sent one after another
    Then all failed as not run with "process_unknown"
    And none took longer than 0.5 s

    Examples:
      | reports   |
      | malformed |
      | refused   |
      | silent    |

  Scenario: A runner that closes its connections after reports gets the request nevertheless
    Given a client of an engine that was born at 1000
    When the engine closes the connections of its next 2 reports
    And 1 requests to its listed process are sent one after another
    Then all were answered, and the engine was asked for 2 reports

  Scenario: A runner that closes its connections and starts again is not sent the request
    Given a client of an engine that was born at 1000
    When the engine closes the connections of its next 1 reports
    And the engine starts again at 2000 after its next report
    And 1 requests to its listed process are sent one after another
    Then all failed as not run with "other_process"

  Scenario: A runner that is ready gets the next request on the connection where it was asked
    Given a client of an engine that was born at 1000
    When its listed process is asked whether it is ready
    Then it is ready
    When 1 requests to its listed process are sent one after another
    Then all were answered, and the engine was asked for 1 report

  Scenario: A runner is asked whether it is ready although it was asked for its process before
    Given a client of an engine that was born at 1000
    When 1 requests to its listed process are sent one after another
    And its listed process is asked whether it is ready
    And 1 requests to its listed process are sent one after another
    Then all were answered, and the engine was asked for 2 reports

  Scenario Outline: A runner that does not answer on a kept connection is not ready
    Given a client of an engine that was born at 1000
    When 1 requests to its listed process are sent one after another
    And its reports are "<reports>"
    And its listed process is asked whether it is ready
    Then it is not ready for "process_unknown"
    And none took longer than 0.5 s
    When its reports are "true"
    And 1 requests to its listed process are sent one after another
    Then all were answered, and the engine was asked for 3 reports

    Examples:
      | reports   |
      | malformed |
      | refused   |
      | silent    |

  Scenario: A runner that has started again is not ready
    Given a client of an engine that was born at 1000
    When 1 requests to its listed process are sent one after another
    And the engine starts again at 2000
    And its listed process is asked whether it is ready
    Then it is not ready for "other_process"

  Scenario: A runner that has ended is not ready
    Given a client of an engine that was born at 1000
    When 1 requests to its listed process are sent one after another
    And the engine ends
    And its listed process is asked whether it is ready
    Then it is not ready for "no_connection"

  Scenario: A runner that closes its connection after the report is ready on another one
    Given a client of an engine that was born at 1000
    When the engine closes the connections of its next 1 reports
    And its listed process is asked whether it is ready
    Then it is ready
    When 1 requests to its listed process are sent one after another
    Then all were answered, and the engine was asked for 2 reports
