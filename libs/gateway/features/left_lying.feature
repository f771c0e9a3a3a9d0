Feature: A host takes up the items that it owes and that lie at no runner
  It asks runners themselves for room, and relies on nothing that the home believes.

  Background:
    Given a simulated fleet of 3 hosts and 1 runner

  Scenario: An item that its home never gives a slot comes to a runner
    Given the home believes that all slots are in use
    When a job is submitted and its items wait for slots
    Then the items of the job are listed within 8 s
    And "item left lying" is logged with the pool, the reports and the past states

  Scenario: An item that is refused and delayed by turns is taken up again
    Given the home refuses each item
    When a job is submitted
    Then the items of the job are listed within 8 s

  Scenario: An item waits for a slot while the runner is full
    Given the runner is full
    When a job is submitted and its items wait for slots
    And 10 s are waited
    Then "item left lying" is not logged

  Scenario: Items that have waited for long are not started over when room comes
    Given the runner is full
    When a job is submitted and its items wait for slots
    And 10 s are waited
    And the runner has room again
    Then the items of the job are listed within 3 s
    And "item left lying" is not logged
