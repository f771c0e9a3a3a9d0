Feature: Whole answers, typed outcomes and at most one run
  While runners, hosts and connections fail, a caller gets its whole answer or an
  explicit error, and what may not be repeated is run at most once.

  Scenario: A runner is killed in the middle of a stream
    Given a running "small" fleet
    When 150 tokens are asked for, and its runner is killed after 20
    Then the answer is whole

  Scenario: The home of a runner is killed in the middle of a stream
    Given a running "small" fleet
    When 150 tokens are asked for through another host, and the home is killed after 20
    Then the answer is whole

  Scenario: A caller that goes away frees its runner
    Given a running "small" fleet
    When 2000 tokens are asked for through another host, and the caller leaves after 20
    Then no runner has a request within 2 s

  Scenario: The answer of a call that may not be repeated is lost
    Given a running "small" fleet
    And the next answer of "fleet-api-0" is lost
    When "/pace-alert/7" of "fleet-api" is called with "slow" through host 1
    Then the caller is told "unknown" with status 504
    And "fleet-api-0" has run 1 call

  @cell.resend.pickup.sent
  Scenario: A resend under the same key to another host
    Given a running "small" fleet
    When "/pickup/7" of "fleet-api" is called with key "k1" and "hole 9" through host 1
    And "/pickup/7" of "fleet-api" is called with key "k1" and "hole 9" through host 2
    Then the call is answered with "hole 9"
    And "fleet-api-0" has run 1 call

  @cell.resend.pickup.before
  Scenario: A resend after a lost answer
    Given a running "small" fleet
    And the next answer of "fleet-api-0" is lost
    When "/pickup/7" of "fleet-api" is called with key "k2" and "hole 9" through host 1
    And "/pickup/7" of "fleet-api" is called with key "k2" and "hole 9" through host 3
    Then the caller is told "unknown" with status 504
    And "fleet-api-0" has run 1 call

  Scenario: Two hosts get the same call at the same time
    Given a running "small" fleet
    And each call to "fleet-api-0" takes 0.5 s
    When "/pickup/7" with key "k3" is called through all hosts at the same time
    Then every call is answered with "together"
    And "fleet-api-0" has run 1 call

  Scenario: A key is used for another call
    Given a running "small" fleet
    When "/pickup/7" of "fleet-api" is called with key "k4" and "hole 9" through host 1
    And "/pickup/7" of "fleet-api" is called with key "k4" and "hole 8" through host 2
    Then the call has status 422
    And "fleet-api-0" has run 1 call

  Scenario: A keyed call while the platform is away
    Given a running "small" fleet
    And the platform is away
    When "/pickup/7" of "fleet-api" is called with key "k5" and "hole 9" through host 1
    Then the caller is told "not_run" with status 503
    And "fleet-api-0" has run 0 calls
    When the platform is back
    And "/pickup/7" of "fleet-api" is called with key "k5" and "hole 9" through host 2
    Then the call is answered with "hole 9"
    And "fleet-api-0" has run 1 call

  Scenario: Connections to a runner go silent
    Given a running "small" fleet behind proxies before "caddie-0,caddie-1"
    When 150 tokens are asked for, and connections to runners go silent after 20
    Then the answer is whole
    When "again?" is asked for 20 tokens through each host
    Then every answer is whole within 1.5 s

  Scenario Outline: Links between hosts fail
    Given a running "small" fleet behind proxies before "lima-1-0,lima-2-1,lima-3-2"
    When "warm?" is asked for 20 tokens through each host
    And the proxy before the home of each runner is set to "<mode>"
    And "<mode>?" is asked for 20 tokens through each host
    Then every answer is whole within <first_s> s
    When "once more?" is asked for 20 tokens through each host
    Then every answer is whole within <next_s> s

    Examples:
      | mode        | first_s | next_s |
      | silent_old  | 1.0     | 1.0    |
      | silent      | 2.0     | 1.5    |
      | cut_forward | 2.0     | 1.5    |
      | cut_back    | 2.0     | 1.5    |
      | closed      | 1.0     | 1.0    |

  @cell.crash_request.call.streaming
  Scenario: A request that crashes runners
    Given a running "lima-three-hosts" fleet
    When 6 streams of 150 tokens run while a crashing request is sent 2 times to each host
    Then at most 2 runners are lost
    And every answer is whole
    When "innocent?" is asked for 20 tokens through each host
    Then every answer is whole
    When a host is restarted and the crashing request is sent to it
    Then the caller is told "not_run" with status 503
    And at most 2 runners are lost

  Scenario: A network cut convicts nobody
    Given a running "small" fleet behind proxies before "caddie-0,caddie-1"
    When 150 tokens are asked for 3 times, each cut off by the network after 20
    Then no request is suspect or convicted

  Scenario: A host that has just started
    Given a running "small" fleet
    When host 2 is killed and restarted, and asked as soon as it answers
    Then the answer is whole

  Scenario Outline: A host leaves
    Given a running "small" fleet
    When 300 tokens are asked for through host 2 and, after 20, it leaves by "<way>"
    Then the other hosts name it in no address answer within 3 s
    When "old address?" is asked for 20 tokens through host 2
    Then every answer is whole
    And the stream of 300 tokens is whole
    And host 2 has ended with code 0

    Examples:
      | way       |
      | SIGTERM   |
      | host list |
