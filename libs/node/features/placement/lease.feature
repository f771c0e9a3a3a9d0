Feature: One host at a time plans and orders
  The hosts of a region, as separate processes, compete for its lease.

  Scenario: Another host takes over the lease of a killed one
    Given a running "small" fleet
    And a host that holds the lease
    When the holder is killed
    Then another host holds the lease within 8 s
    When an engine is restarted
    Then every engine is ready within 10 s

  Scenario: A draining host releases the lease
    Given a running "small" fleet
    And a host that holds the lease
    When the holder is stopped
    Then another host holds the lease within 4 s

  @cell.freeze_past_lease.roll_out.accepted
  Scenario Outline: A holder frozen past its lease sends nothing stale when it wakes
    Given a running "small" fleet with engines that <mode> fencing tokens
    And a host that holds the lease
    When the holder is frozen
    Then another host holds the lease within 8 s
    When version "v2" of "caddie" is applied through a host that is not frozen
    Then every engine serves "v2" within 30 s
    When the holder is resumed and an engine is restarted
    Then every engine serves "v2" within 25 s
    And no engine received a stale fencing token, or an order for "v1" after "v2"

    Examples:
      | mode   |
      | check  |
      | ignore |

  Scenario: The last plan stays active during a platform outage
    Given a running "small" fleet
    And a host that holds the lease
    When the platform is down
    Then no host holds the lease within 5 s
    And responses are complete through every host
    When an engine is restarted
    Then no engine receives an order for 3 s
    And responses are complete through every host
    When the platform recovers
    Then every engine is ready within 12 s

  Scenario: Responses to lease renewals are lost
    Given a running "small" fleet
    And a host that holds the lease
    When the platform loses the responses to the next 6 writes
    And an engine is restarted
    Then every engine is ready within 15 s
    And no engine received a stale fencing token
