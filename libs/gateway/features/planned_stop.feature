Feature: A planned stop of a host
  Callers keep an address for some time after a host has begun to leave. What the host
  takes in its stop grace period, 3 s here, is answered before that is over; what may
  not end by then is refused at once and does not run.

  Background:
    Given a fleet of 2 hosts on the platform

  Scenario Outline: A request that may outlast the grace period is refused as not run
    Given an engine "e1" whose streams take 1.2 s
    And slow plain runner "p1" that answers after 1.2 s
    When host "h0" begins to stop
    And a caller requests "<path>" with a deadline of 5 s at "h0" 1.5 s later
    Then the caller gets status 503 with a Retry-After header
    And the response took between 0 s and 0.3 s
    And the runners received nothing

    Examples:
      | path    |
      | /ask/   |
      | /alert/ |
      | /look/  |
      | /order/ |

  Scenario Outline: A request that was taken early may use the whole grace period
    Given an engine "e1" whose streams take 2 s
    And slow plain runner "p1" that answers after 2 s
    When host "h0" begins to stop
    And a caller requests "<path>" with a deadline of 5 s at "h0" 0.4 s later
    Then the caller gets a complete response with status 200

    Examples:
      | path    |
      | /ask/   |
      | /alert/ |
      | /order/ |

  Scenario Outline: A request whose deadline is near is still served late
    Given an engine "e1" whose streams take 0.2 s
    And slow plain runner "p1" that answers after 0.2 s
    When host "h0" begins to stop
    And a caller requests "<path>" with a deadline of 0.6 s at "h0" 1.9 s later
    Then the caller gets a complete response with status 200

    Examples:
      | path    |
      | /ask/   |
      | /look/  |
      | /order/ |

  Scenario: Requests under load get an answer or are not read
    Given an engine "e1" whose streams take 0.2 s
    And slow plain runner "p1" that answers after 0.1 s
    When host "h0" begins to stop while callers send 60 requests a second for 4 s
    Then no request at a runner was cut off from its caller
