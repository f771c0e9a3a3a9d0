Feature: Hosts that are cut off from all runners serve by other ways
  Some hosts reach no runner for seconds, while callers, the store and the other hosts
  still reach them. Real host processes; each host's way to each runner is a proxy.

  Scenario Outline: Callers of hosts that are cut off from all runners are served
    Given 4 hosts in 2 data centres, 3 engines, 2 plain runners and callers
    When the home of the engines' slots is cut off, so that connections <shape>
    And then all hosts of the other data centre, so that connections <next shape>
    Then callers' first tries there are served as those at the other hosts
    And callers of the other hosts are served and all runners get their requests
    And no host records a crash and no request is refused as crashing runners
    And a job of a host that was cut off had all its results before the end of the cut
    And after the cut its hosts reach runners directly
    And no guarantee of the fleet was violated

    Examples: hang
      | shape | next shape |
      | hang  | hang       |

    Examples: reset
      | shape                              | next shape |
      | are reset and new ones are refused | are reset  |

    Examples: refuse
      | shape                          | next shape                     |
      | go on and new ones are refused | go on and new ones are refused |

  Scenario: A runner that is silent for a second harms nobody
    Given 4 hosts in 2 data centres, 3 engines, 2 plain runners and callers
    When an engine and then a plain runner stand still for 1 s
    Then each gets requests again within 1 s, and goes on to get them
    And callers of all hosts are served
    And no host records a crash and no request is refused as crashing runners
    And no guarantee of the fleet was violated
