Feature: Runners that say in their answers that they leave
  A runner that leaves gets no more requests from a host that was told so. Another
  process of the same runner does.

  Background:
    Given a fleet of 2 hosts on the platform

  Scenario Outline: A leaving runner gets no more requests from the host that was told
    Given <runners> "r1,r2"
    And runner "r1" fails with <status>
    And runner "r1" says that it leaves in its answers alone
    When callers request "<path>" at "h0" until runner "r1" gets one
    Then runner "r1" gets none of 10 further requests for "<path>" at "h0"

    Examples:
      | runners       | path    | status |
      | engines       | /ask/   | 0      |
      | plain runners | /look/  | 0      |
      | plain runners | /order/ | 500    |

  Scenario Outline: An answer that fails or breaks off says so too
    Given <runners> "r1,r2"
    And runner "r1" has the fault "<fault>" of <value>
    And runner "r1" says that it leaves in its answers alone
    When callers request "<path>" at "h0" until runner "r1" gets one
    Then runner "r1" gets none of 10 further requests for "<path>" at "h0"

    Examples:
      | runners       | path     | fault        | value |
      | engines       | /ask/    | fail         | 500   |
      | engines       | /alert/  | fail         | 404   |
      | engines       | /urgent/ | break_after  | 2     |
      | engines       | /ask/    | break_after  | 2     |
      | engines       | /ask/    | impossible   | 1     |
      | engines       | /urgent/ | silent_after | 1     |
      | plain runners | /look/   | fail         | 404   |
      | plain runners | /look/   | fail         | 500   |

  Scenario: A retry goes to a runner that leaves when no other one is left
    Given plain runners "r1,r2"
    And runner "r2" fails with 500
    And runner "r1" says that it leaves in its answers alone
    When callers request "/order/" at "h0" until runner "r1" gets one
    And a caller requests "/look/1" at "h0" as "q1"
    Then the caller gets status 200

  Scenario Outline: A refusal that says so is believed
    Given <runners> "r1,r2"
    And engine "r1" is full
    And runner "r1" says that it leaves in its answers alone
    When <count> callers request "<path>" at both hosts at once
    And runner "r1" has room again
    Then runner "r1" gets none of 10 further requests for "<path>" at "h0"
    And runner "r1" gets none of 10 further requests for "<path>" at "h1"

    Examples:
      | runners       | path   | count |
      | engines       | /ask/  | 4     |
      | plain runners | /look/ | 12    |

  Scenario: The home of slots is told by the hosts that were told
    Given engines "r1,r2"
    And runner "r1" says that it leaves in its answers alone
    When callers request "/ask/" at "h0" until runner "r1" gets one
    And callers request "/ask/" 1 time at "h0"
    And callers request "/ask/" 1 time at the home of slots
    Then runner "r1" gets none of 10 further requests for "/ask/" at "h1"

  Scenario: The home of slots is told by reports
    Given engines "r1,r2"
    When callers request "/ask/" 2 times at "h0"
    And runner "r1" says that it leaves in its reports alone
    And 1.2 s pass
    Then runner "r1" gets none of 10 further requests for "/ask/" at "h0"
    And runner "r1" gets none of 10 further requests for "/ask/" at "h1"

  Scenario: What another runner at the address says is not believed
    Given engines "r1,r2"
    And the address of "r1" now belongs to another runner
    And runner "r1" says that it leaves in its answers alone
    When callers request "/ask/" 4 times at "h0"
    And runner "r1" has its address again and stays
    Then callers request "/ask/" at "h0" until runner "r1" gets one

  Scenario: A stream under way goes on
    Given slow engines "r1"
    And runner "r1" says that it leaves in its answers alone
    When a caller requests "/ask/1" at "h0" as "q1"
    Then the caller gets events 1 to 40, complete

  Scenario: Batch items go to other runners
    Given engines "r1,r2"
    And runner "r1" says that it leaves in its answers alone
    When the job "j1" of 12 items is submitted at "h0"
    Then it is accepted
    And each host returns the same 12 complete results of "j1"
    And runner "r1" got between 1 and 4 requests

  Scenario Outline: A runner that starts again under its id is used again
    Given <runners> "r1,r2"
    And runner "r1" says that it leaves in its answers alone
    When callers request "<path>" at "h0" until runner "r1" gets one
    Then runner "r1" gets none of 10 further requests for "<path>" at "h0"
    When runner "r1" starts again under its id
    Then callers request "<path>" at "h0" until runner "r1" gets one

    Examples:
      | runners       | path   |
      | engines       | /ask/  |
      | plain runners | /look/ |

  Scenario Outline: When all runners leave they are used until their time is over
    Given <runners> "r1"
    And runner "r1" says that it leaves in its answers alone
    When callers request "<path>" at "h0" until runner "r1" gets one
    And a caller requests "<path>2" at "h0" as "q2"
    Then the caller gets status 200
    When 2.2 s pass
    And a caller requests "<path>3" at "h0" as "q3"
    Then the caller gets status 503 with a Retry-After header
    And the response took between 0 s and 0.6 s

    Examples:
      | runners       | path   |
      | engines       | /ask/  |
      | plain runners | /look/ |
