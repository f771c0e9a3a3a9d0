Feature: Items that wait for a slot follow their route
  What an item asks for goes by the configuration in force, however long it waits.

  Background:
    Given a simulated fleet of 2 hosts and 1 runner

  Scenario: An item that waits at a service which its route has left comes to a runner
    Given the batch route leads to a service without runners
    When a job is submitted and its items wait for slots
    And the batch route leads to the service of the runner
    Then the items of the job are listed within 3 s

  Scenario: Items whose route is removed leave the queue of the runners at once
    Given the runner is full
    When a job is submitted and its items wait for slots
    And the batch route is removed
    Then no item waits for a slot after 0.1 s
    And the items of the job wait for their route

  Scenario: An ask that is queued only after its route was removed does not wait
    Given the runner is full
    When a job is submitted and the home's answers to its asks are late
    And the batch route is removed
    And the home's answers arrive
    Then no item waits for a slot after 0.1 s
    And the items of the job wait for their route
