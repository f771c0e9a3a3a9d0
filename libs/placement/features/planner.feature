Feature: The planner
  Plans are a pure function of configuration, inventory, states and load.

  Background:
    Given engine services "chat" with 2 to 4 runners and "parts" with 1 to 4 runners

  Scenario: Engines are divided among services and loaded
    Given 6 engines in data centres "a,b,c"
    When the region converges
    Then "chat" has 3 ready runners and "parts" has 3

  Scenario: A region that has converged keeps its plan
    Given 6 engines in data centres "a,b,c"
    When the region converges
    And a plan is made
    Then no runner was moved

  Scenario: Too few engines are divided, and the shortage is noted
    Given 2 engines in data centres "a"
    When the region converges
    Then "chat" has 1 ready runners and "parts" has 1
    And the note on "chat" is "too few runners: 1 of 2"

  Scenario: Runners move from a service with little load to one with more
    Given 6 engines in data centres "a,b,c"
    And the region has converged
    When load requires 4 runners of "parts"
    And the region converges
    Then "chat" has 2 ready runners and "parts" has 4

  Scenario: A lost runner is replaced by an idle one, and nothing else moves
    Given 9 engines in data centres "a,b,c"
    And the region has converged
    When a runner of "chat" is lost
    And a plan is made
    Then 1 runner was moved
    When the region converges
    Then "chat" has 4 ready runners and "parts" has 4

  Scenario: A leaving runner loses its assignment
    Given 9 engines in data centres "a,b,c"
    And the region has converged
    When a runner of "chat" leaves
    And a plan is made
    Then 1 runner was moved

  Scenario: A service is spread over its minimum number of data centres
    Given "chat" has a minimum of 3 data centres
    And 3 engines in data centres "a"
    And 2 engines in data centres "b,c"
    When the region converges
    Then "chat" is in 3 data centres

  Scenario: A service waits until its dependencies are ready
    Given "chat" depends on "parts"
    And 6 engines in data centres "a,b,c"
    When a plan is made
    Then "chat" has nothing assigned
    And the note on "chat" is "waits for parts to be ready"
    When the region converges
    Then "chat" has 3 ready runners and "parts" has 3

  Scenario: Concurrent loads are limited by the weight store's bandwidth
    Given the weight store has bandwidth for 3 loads
    And 6 engines in data centres "a,b,c"
    When a plan is made
    Then 3 runners are in transition

  Scenario: A roll-out keeps as many runners ready as the load requires
    Given 6 engines in data centres "a,b,c"
    And the region has converged
    When load requires 2 runners of "chat"
    And version "v2" of "chat" is rolled out
    Then "chat" never had fewer than 2 ready runners
    And every runner of "chat" serves "v2"
    And at most 1 runner of "chat" was in transition at once

  Scenario: A roll-out with no surplus runner uses an idle one
    Given "chat" has a minimum of 4 runners
    And 9 engines in data centres "a,b,c"
    And the region has converged
    When version "v2" of "chat" is rolled out
    Then "chat" never had fewer than 4 ready runners
    And every runner of "chat" serves "v2"

  Scenario: A roll-out with neither a surplus nor an idle runner waits with a note
    Given "chat" has a minimum of 4 runners
    And 5 engines in data centres "a,b,c"
    And the region has converged
    When version "v2" of "chat" is rolled out
    Then "chat" never had fewer than 4 ready runners
    And the note on "chat" is "roll-out waits: no runner above what is needed, and none idle"

  Scenario: A version that fails to load stops its roll-out
    Given 6 engines in data centres "a,b,c"
    And the region has converged
    When version "v2" of "chat" fails to load everywhere and is rolled out
    Then "chat" never had fewer than 2 ready runners
    And 1 runner is reported as failed
    When version "v3" of "chat" is rolled out
    Then every runner of "chat" serves "v3"

  Scenario: An engine that fails a model which others serve is replaced
    Given 9 engines in data centres "a,b,c"
    And the region has converged
    When a runner of "chat" fails
    And the region converges
    Then "chat" has 4 ready runners and "parts" has 4

  Scenario: A lost plan is rebuilt from the orders that engines hold
    Given 6 engines in data centres "a,b,c"
    And the region has converged
    When the plan is lost
    And a plan is made
    Then the assignments are the same as before

  Scenario: A plan survives conversion to JSON and back
    Given 6 engines in data centres "a,b,c"
    When the region converges
    Then the plan is unchanged after conversion to JSON and back

  Scenario: The invariants of a plan hold under random fleets and faults
    Then in 150 random histories no invariant of a plan is violated
