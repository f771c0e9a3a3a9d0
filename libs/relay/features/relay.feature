Feature: Connections to runners through other hosts
  A host that is cut off from runners reaches them through hosts that are not.

  Background:
    Given hosts "h0,h1,h2" and the runners "r0,r1"

  Scenario Outline: A host that is cut off gets answers through another one
    Given "h0" is cut off from the runners, whose connections are <shape>
    When "h0" sends 10 requests to "r0"
    Then "h0" has 10 whole answers, none later than 0.4 s
    And the path from "h0" to "r0" is cut

    Examples:
      | shape   |
      | refused |
      | silent  |

  Scenario: Connections that open and are reset at once are of a path that is cut
    Given "h0" is cut off from the runners, whose connections are reset at once
    Then "h0" diagnoses "r0" as path_cut
    When "h0" sends 10 requests to "r0"
    Then "h0" has 10 whole answers, none later than 0.4 s
    When "h0" sends 10 requests to "r1"
    Then "h0" has 10 whole answers, none later than 0.4 s

  Scenario: Hosts that are cut off themselves relay nothing, another one does
    Given "h0" is cut off from the runners, whose connections are silent
    And "h1" is cut off from the runners, whose connections are silent
    When "h0" sends 10 requests to "r0"
    Then "h0" has 10 whole answers, none later than 0.4 s

  Scenario: The direct path is taken again once it is whole
    Given "h0" is cut off from the runners, whose connections are refused
    When "h0" sends 1 requests to "r0"
    And "h0" reaches the runners again
    Then after some requests of "h0" to "r0" its path is whole

  Scenario: A host that is not cut off uses no relay
    When "h0" sends 10 requests to "r0"
    Then "h0" has 10 whole answers, none later than 0.4 s
    And no host has relayed a connection

  Scenario: The end of a relay is not taken for the end of an answer without length
    Given "h0" is cut off from the runners, whose connections are refused
    And "r0" sends half of an answer without length, and goes on to live
    When "h0" sends 1 requests to "r0" and its relay ends before the answer
    Then the answer of "h0" broke off

  Scenario Outline: A silence in the middle of a relayed answer ends nothing
    Given "h0" is cut off from the runners, whose connections are refused
    And "r0" <framing>
    When "h0" sends 1 requests to "r0" and its relay is silent for <still_s> s in the middle of the answer
    Then "h0" has 1 whole answers, none later than 4 s

    Examples:
      | framing                          | still_s |
      | pauses in the middle of answers  | 1       |
      | pauses in the middle of answers  | 1.8     |

  Scenario: An answer without length that ends with its connection is whole
    Given "h0" is cut off from the runners, whose connections are refused
    And "r0" ends its answers with the connection
    When "h0" sends 1 requests to "r0"
    Then "h0" has 1 whole answers, none later than 0.4 s

  Scenario: An answer whose runner resets the connection is not whole
    Given "h0" is cut off from the runners, whose connections are refused
    And "r0" resets its connection in the middle of an answer without length
    When "h0" sends 1 requests to "r0"
    Then the answer of "h0" broke off

  Scenario: A request that is given up is dropped at the runner
    Given "h0" is cut off from the runners, whose connections are refused
    And "r0" sends half of an answer without length, and goes on to live
    When "h0" gives up a request to "r0" in the middle of its answer
    Then "r0" sees the end of its connection within 0.3 s

  Scenario: A runner that is not listed is not connected to
    Given "h0" is cut off from the runners, whose connections are refused
    And no host lists "r0" any more
    When "h0" sends 1 requests to "r0"
    Then "h0" has no answer, and the runner's state is unknown

  Scenario: Tunnels are bounded
    Given "h0" is cut off from the runners, whose connections are refused
    And "r0" sends half of an answer without length, and goes on to live
    When "h0" keeps 6 requests to "r0" open, while each host relays 2 at once
    Then 4 of its requests have an answer that has begun

  Scenario Outline: A runner is diagnosed from two vantage points
    Given that <cut>, while <runner>
    Then "h0" diagnoses "r0" as <verdict>

    Examples:
      | cut                          | runner             | verdict  |
      | nobody is cut off            | "r0" lives         | lives    |
      | nobody is cut off            | "r0" has ended     | ended    |
      | "h0" is cut off              | "r0" lives         | path_cut |
      | "h0" and "h1" are cut off    | "r0" lives         | path_cut |
      | "h0" and "h1" are cut off    | "r0" has ended     | ended    |
      | "h2" does not answer         | "r0" has ended     | ended    |
      | the others do not answer     | "r0" has ended     | unknown  |
      | nobody is cut off            | all have ended     | ended    |

  Scenario: A verdict before a runner ended does not tell that it lives
    Given "h0" is cut off from the runners, whose connections are refused
    Then "h0" diagnoses "r0" as path_cut
    When "r0" ends
    Then "r0" may have ended, as "h0" sees it

  Scenario: A diagnosis that began before a runner ended does not tell that it lives
    Given "h0" is cut off from the runners, whose connections are silent
    When "r0" ends 0.25 s after "h0" began to diagnose it
    Then "r0" may have ended, as "h0" sees it

  Scenario: Requests to a silent runner fail as such, also when no more may be hedged
    Given no host reaches "r0", whose connections are silent
    When "h0" sends 14 requests to "r0"
    Then all 14 have failed for want of a way
