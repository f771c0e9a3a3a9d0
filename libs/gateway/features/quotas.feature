Feature: The limits of workspaces on the hosts of a fleet
  A host asks the host that counts for a workspace before it sends a request to a runner.

  Scenario: A limit holds over two hosts, and who is refused is told when to return
    Given a fleet of 2 hosts on the platform
    And the workspace "w" is limited to 5 requests a second and 5 at once
    When 60 requests of "w" come at "h0,h1"
    Then at least 3 of them are admitted, and no more than a window allows
    And the others get status 429 and return within 5 s, at different times
    And the dump of the host that counts for "w" has as many granted and refused

  Scenario: Another host counts when the host that does is killed
    Given a fleet of 3 hosts on the platform
    And the workspace "w" is limited to 5 requests a second and 5 at once
    When 60 requests of "w" come at "h0,h1,h2"
    And the host that counts for "w" is killed
    And requests of "w" come at the other hosts until one is admitted at each
    Then no more than a window allows are admitted in all

  Scenario: A host of a former build does not count
    Given a fleet of 2 hosts on the platform
    And the workspace "w" is limited to 5 requests a second and 5 at once
    And the host that counts for "w" runs a build without limits
    When 60 requests of "w" come at the other host
    Then at least 3 of them are admitted, and no more than a window allows

  Scenario: A workspace without a limit costs no messages
    Given a fleet of 2 hosts on the platform
    And the workspace "w" is limited to 0 requests a second and 5 at once
    When 60 requests of "w" come at "h0,h1"
    Then all of them are admitted, and no host was asked

  Scenario Outline: Only a host that asks for itself takes one that answers late for silent
    Given a host that answers no ask for a permit in time
    When it gets an ask that <n_hops> hosts have passed on
    Then it is still a candidate: <is_candidate>

    Examples:
      | n_hops | is_candidate |
      | 0      | no           |
      | 1      | yes          |
