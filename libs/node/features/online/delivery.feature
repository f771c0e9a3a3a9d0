Feature: Complete answers, typed outcomes and at-most-once execution
  When runners, hosts or connections fail, a caller gets a complete answer or an
  explicit error, and a request that is not idempotent runs at most once.

  Scenario: A runner is killed in the middle of a stream
    Given a running "small" fleet
    When 150 tokens are requested, and its runner is killed after 20
    Then the answer is complete

  Scenario: The home of a runner is killed in the middle of a stream
    Given a running "small" fleet
    When 150 tokens are requested through another host, and the home is killed after 20
    Then the answer is complete

  Scenario: The disconnect of a caller cancels the request at its runner
    Given a running "small" fleet
    When 2000 tokens are requested through another host, and the caller disconnects after 20
    Then no runner has a request within 2 s

  Scenario: The response to a call that is not idempotent is lost
    Given a running "small" fleet
    And the next response of "fleet-api-0" is lost
    When "/pace-alert/7" of "fleet-api" is called with "slow" through host 1
    Then the caller receives "unknown" with status 504
    And "fleet-api-0" has run 1 call

  @cell.resend.pickup.sent
  Scenario: A repeated submission with the same key to another host
    Given a running "small" fleet
    When "/pickup/7" of "fleet-api" is called with key "k1" and "hole 9" through host 1
    And "/pickup/7" of "fleet-api" is called with key "k1" and "hole 9" through host 2
    Then the call returns "hole 9"
    And "fleet-api-0" has run 1 call

  @cell.resend.pickup.before
  Scenario: A repeated submission after a lost response
    Given a running "small" fleet
    And the next response of "fleet-api-0" is lost
    When "/pickup/7" of "fleet-api" is called with key "k2" and "hole 9" through host 1
    And "/pickup/7" of "fleet-api" is called with key "k2" and "hole 9" through host 3
    Then the caller receives "unknown" with status 504
    And "fleet-api-0" has run 1 call

  Scenario: Several hosts receive the same call concurrently
    Given a running "small" fleet
    And each call to "fleet-api-0" takes 0.5 s
    When "/pickup/7" with key "k3" is called through all hosts concurrently
    Then every call returns "together"
    And "fleet-api-0" has run 1 call

  Scenario: A key is reused for a different call
    Given a running "small" fleet
    When "/pickup/7" of "fleet-api" is called with key "k4" and "hole 9" through host 1
    And "/pickup/7" of "fleet-api" is called with key "k4" and "hole 8" through host 2
    Then the call has status 422
    And "fleet-api-0" has run 1 call

  Scenario: A call with a key while the platform is unavailable
    Given a running "small" fleet
    And the platform is unavailable
    When "/pickup/7" of "fleet-api" is called with key "k5" and "hole 9" through host 1
    Then the caller receives "not_run" with status 503
    And "fleet-api-0" has run 0 calls
    When the platform is available again
    And "/pickup/7" of "fleet-api" is called with key "k5" and "hole 9" through host 2
    Then the call returns "hole 9"
    And "fleet-api-0" has run 1 call

  Scenario: Connections to a runner stall
    Given a running "small" fleet behind proxies before "caddie-0,caddie-1"
    When 150 tokens are requested, and connections to runners stall after 20
    Then the answer is complete
    When 20 tokens for "again?" are requested through each host
    Then every answer is complete within 1.5 s

  Scenario Outline: Links between hosts fail
    Given a running "small" fleet behind proxies before "lima-1-0,lima-2-1,lima-3-2"
    When 20 tokens for "warm?" are requested through each host
    And the proxy before the home of each runner is set to "<mode>"
    And 20 tokens for "<mode>?" are requested through each host
    Then every answer is complete within <first_s> s
    When 20 tokens for "once more?" are requested through each host
    Then every answer is complete within <next_s> s

    Examples:
      | mode        | first_s | next_s |
      | silent_old  | 1.0     | 1.0    |
      | silent      | 2.0     | 1.5    |
      | cut_forward | 2.0     | 1.5    |
      | cut_back    | 2.0     | 1.5    |
      | closed      | 1.0     | 1.0    |

  @cell.crash_request.call.streaming
  Scenario: A poison request crashes runners
    Given a running "lima-three-hosts" fleet
    When 6 streams of 150 tokens run while a poison request is sent 2 times to each host
    Then at most 2 runners are lost
    And every answer is complete
    When 20 tokens for "innocent?" are requested through each host
    Then every answer is complete
    When a host is restarted and the poison request is sent to it
    Then the caller receives "not_run" with status 503
    And at most 2 runners are lost

  Scenario: Aborted connections convict no request
    Given a running "small" fleet behind proxies before "caddie-0,caddie-1"
    When 150 tokens are requested 3 times, each aborted by the network after 20
    Then no request is suspect or convicted

  Scenario: A request to a host that has just started
    Given a running "small" fleet
    When host 2 is killed and restarted, and gets a request as soon as it responds
    Then the answer is complete

  Scenario Outline: A host leaves the fleet
    Given a running "small" fleet
    When 300 tokens are requested through host 2 and, after 20, it leaves by "<way>"
    Then no host lists its address within 3 s
    When 20 tokens for "old address?" are requested through host 2
    Then every answer is complete
    And the stream of 300 tokens is complete
    And host 2 has exited with code 0

    Examples:
      | way       |
      | SIGTERM   |
      | host list |
