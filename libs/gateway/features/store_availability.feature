Feature: What a host believes of its own way to the store
  Decisions on the outcome of probes, stepped by hand.

  Scenario: A store that does not answer is probed ever more rarely
    Given a store that answered a probe 0 s ago
    When 6 probes fail as soon as they are due
    Then each pause is at most 1.6 s and the last at least 0.8 s
    And the store counts as lost

  Scenario: The proof that the store answers expires
    Given a store that answered a probe 0 s ago
    Then the store is proved to answer 0.9 s later, and not 1 s later

  Scenario: One failure is not a loss, and its end is told once
    Given a store that answered a probe 0 s ago
    When 1 probes fail as soon as they are due
    Then the store does not count as lost
    And the next answer ends the failure, the one after it does not

  Scenario: Another host is waited for when the store is back
    Given a store that answered a probe 0 s ago
    When 3 probes fail as soon as they are due
    And the lost store is back
    Then another host is waited for during 0.8 s
    And nothing is waited for once another host has told of changes
