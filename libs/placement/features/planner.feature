Feature: The planner
  A pure function of text, inventory, states and load tells what runs where.

  Background:
    Given engine services "chat" with 2 to 4 runners and "parts" with 1 to 4 runners

  Scenario: Engines are shared out and loaded
    Given 6 engines in data centres "a,b,c"
    When the region settles
    Then "chat" has 3 ready runners and "parts" has 3

  Scenario: A region that has settled keeps its plan
    Given 6 engines in data centres "a,b,c"
    When the region settles
    And a plan is made
    Then no runner was moved

  Scenario: Too few engines
    Given 2 engines in data centres "a"
    When the region settles
    Then "chat" has 1 ready runners and "parts" has 1
    And the note on "chat" is "too few runners: 1 of 2"

  Scenario: Runners go where the load is, and from where it isn't
    Given 6 engines in data centres "a,b,c"
    And the region has settled
    When load asks for 4 runners of "parts"
    And the region settles
    Then "chat" has 2 ready runners and "parts" has 4

  Scenario: A lost runner is replaced by an idle one, and nothing else moves
    Given 9 engines in data centres "a,b,c"
    And the region has settled
    When a runner of "chat" is lost
    And a plan is made
    Then 1 runner was moved
    When the region settles
    Then "chat" has 4 ready runners and "parts" has 4

  Scenario: A leaving runner is vacated
    Given 9 engines in data centres "a,b,c"
    And the region has settled
    When a runner of "chat" leaves
    And a plan is made
    Then 1 runner was moved

  Scenario: A service is in as many data centres as it wants
    Given "chat" wants 3 data centres
    And 3 engines in data centres "a"
    And 2 engines in data centres "b,c"
    When the region settles
    Then "chat" is in 3 data centres

  Scenario: A service waits for those it depends on
    Given "chat" depends on "parts"
    And 6 engines in data centres "a,b,c"
    When a plan is made
    Then "chat" has nothing assigned
    And the note on "chat" is "waits for parts to be ready"
    When the region settles
    Then "chat" has 3 ready runners and "parts" has 3

  Scenario: Loads are bounded by the weight store
    Given the weight store carries 3 loads
    And 6 engines in data centres "a,b,c"
    When a plan is made
    Then 3 runners are in transition

  Scenario: A new version is rolled out without going below what load needs
    Given 6 engines in data centres "a,b,c"
    And the region has settled
    When load asks for 2 runners of "chat"
    And version "v2" of "chat" is rolled out
    Then "chat" never had fewer than 2 ready runners
    And every runner of "chat" serves "v2"
    And at most 1 runner of "chat" was in transition at once

  Scenario: A roll-out with no runner to spare goes by way of an idle one
    Given "chat" needs 4 runners
    And 9 engines in data centres "a,b,c"
    And the region has settled
    When version "v2" of "chat" is rolled out
    Then "chat" never had fewer than 4 ready runners
    And every runner of "chat" serves "v2"

  Scenario: A roll-out with neither says so and waits
    Given "chat" needs 4 runners
    And 5 engines in data centres "a,b,c"
    And the region has settled
    When version "v2" of "chat" is rolled out
    Then "chat" never had fewer than 4 ready runners
    And the note on "chat" is "roll-out waits: no runner above what is needed, and none idle"

  Scenario: A version that fails to load stops its roll-out
    Given 6 engines in data centres "a,b,c"
    And the region has settled
    When version "v2" of "chat" fails to load everywhere and is rolled out
    Then "chat" never had fewer than 2 ready runners
    And 1 runner is told as failed
    When version "v3" of "chat" is rolled out
    Then every runner of "chat" serves "v3"

  Scenario: An engine that fails what others serve is replaced
    Given 9 engines in data centres "a,b,c"
    And the region has settled
    When a runner of "chat" fails
    And the region settles
    Then "chat" has 4 ready runners and "parts" has 4

  Scenario: Engines that hold an order already are adopted when a plan was lost
    Given 6 engines in data centres "a,b,c"
    And the region has settled
    When the plan is lost
    And a plan is made
    Then the plan is as it was

  Scenario: A plan is read back as it was written
    Given 6 engines in data centres "a,b,c"
    When the region settles
    Then the plan's document is read back as the same plan

  Scenario: Whatever the fleet and its faults, the rules of a plan hold
    Then in 150 drawn histories no rule of a plan is broken
