Feature: One host at a time plans and orders
  Separate processes share the lease of their region.

  Scenario: Another host takes over from a killed one
    Given a running "small" fleet
    And a host that holds the lease
    When the holder is killed
    Then another host holds the lease within 8 s
    When an engine is restarted
    Then every engine is ready within 10 s

  Scenario: A draining host gives the lease up
    Given a running "small" fleet
    And a host that holds the lease
    When the holder is stopped
    Then another host holds the lease within 4 s

  @cell.freeze_past_lease.roll_out.accepted
  Scenario Outline: A holder frozen past its lease sends nothing stale when it wakes
    Given a running "small" fleet with engines that <habit> fencing numbers
    And a host that holds the lease
    When the holder is frozen
    Then another host holds the lease within 8 s
    When version "v2" of "caddie" is applied through a host that is not frozen
    Then every engine serves "v2" within 30 s
    When the holder is thawed and an engine is restarted
    Then every engine serves "v2" within 25 s
    And no engine got an order with an old fencing number, or of "v1" after "v2"

    Examples:
      | habit  |
      | check  |
      | ignore |

  Scenario: While the platform is away the last plan stands
    Given a running "small" fleet
    And a host that holds the lease
    When the platform is down
    Then no host holds the lease within 5 s
    And answers are whole through every host
    When an engine is restarted
    Then no engine gets an order in 3 s
    And answers are whole through every host
    When the platform is up
    Then every engine is ready within 12 s

  Scenario: Answers to renewals are lost
    Given a running "small" fleet
    And a host that holds the lease
    When the platform loses the answers of the next 6 writes
    And an engine is restarted
    Then every engine is ready within 15 s
    And no engine got an order with an old fencing number
