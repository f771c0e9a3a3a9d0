Feature: Paths to runners
  A host that can't reach a runner asks others whether the runner has failed, or its path.

  Scenario Outline: A runner is judged by what two vantage points see
    When this host's attempt is "<direct>" and those of others are "<others>"
    Then the runner is judged to be "<verdict>"

    Examples:
      | direct    | others            | verdict  |
      | connected |                   | lives    |
      | refused   | connected         | path_cut |
      | silent    | unknown,connected | path_cut |
      | refused   | refused,connected | path_cut |
      | refused   | refused           | ended    |
      | refused   | unknown,refused   | ended    |
      | refused   | silent            | silent   |
      | silent    | refused           | silent   |
      | silent    | silent            | silent   |
      | refused   | unknown           | unknown  |
      | silent    |                   | unknown  |
      | refused   | isolated          | unknown  |
      | refused   | isolated,unknown  | unknown  |
      | refused   | isolated,isolated | ended    |
      | refused   | isolated,refused  | ended    |
      | refused   | unknown,isolated  | unknown  |

  Scenario: Without other hosts its own view decides
    Given there are no other hosts
    When this host's attempt is "refused" and those of others are ""
    Then the runner is judged to be "ended"

  Scenario: No sound runner is accused by hosts that are cut off, a runner that ended is
    Then in 3000 random fleets no host accuses a sound runner
    And in 3000 random fleets hosts accuse a runner that ended, unless all of a large fleet have

  Scenario: Witnesses that trust what they see while they are cut off themselves are found out
    Given the fault that witnesses don't check another runner
    Then in 3000 random fleets some host accuses a sound runner

  Scenario: The direct path has a head start, and its relay none while another path is cut
    Then the plan for "r1" is direct, with a relay after 0.1 s
    When the path to "r2" is found cut
    Then the plan for "r1" is direct, with a relay after 0 s
    And the plan for "r2" is a relay alone

  Scenario: A path that is cut is tried once in a second, until it is whole
    Given the path to "r1" is found cut
    When the paths are 0.9 s older
    Then the plan for "r1" is a relay alone
    When the paths are 0.2 s older
    Then the plan for "r1" is direct, with a relay after 0 s
    And the plan for "r1" is a relay alone
    When a direct connection to "r1" is opened
    Then the plan for "r1" is direct, with a relay after 0.1 s

  Scenario: While a path is cut, connections over the others have to prove that they last
    Then a direct connection to "r1" is used at once
    When the path to "r2" is found cut
    Then a direct connection to "r1" is used once it has proved to last
    When a direct connection to "r1" has proved to last
    Then a direct connection to "r1" is used at once
    When the paths are 1.1 s older
    Then a direct connection to "r1" is used once it has proved to last
    And a direct connection to "r2" is used once it has proved to last

  Scenario: Connections that are only slow are hedged within a budget
    Then 10 of 100 slow connections may be hedged
    When 100 direct connections are opened
    Then 10 of 100 slow connections may be hedged
    When the path to "r2" is found cut
    Then 100 of 100 slow connections may be hedged

  Scenario: Hosts that relayed before are asked first, and those that could not last
    Given the hosts "h1,h2,h3,h4"
    When "h3" relays a connection and "h1" can't
    Then "h3" is asked first and "h1" last
    When the paths are 2.1 s older
    Then "h3" is asked first
