Feature: Placement of services on engines, with separate processes
  Engines converge to the configuration in spite of engine failures.

  Scenario: A killed engine is replaced by an idle one
    Given a running "idle-engines" fleet
    Then "caddie-llm" has 3 ready runners within 5 s
    When a ready engine is killed
    Then "caddie-llm" has 2 ready runners within 5 s
    And "caddie-llm" reports a failure
    And "caddie-llm" has 3 ready runners within 25 s

  Scenario: An engine that restarts empty receives its order again
    Given a running "idle-engines" fleet
    And "caddie-llm" has 3 ready runners within 5 s
    When a ready engine is killed
    Then "caddie-llm" has 2 ready runners within 5 s
    When it is restarted
    Then "caddie-llm" has 3 ready runners within 10 s
    And no other engine received an order

  Scenario: A new version is rolled out under load without a failed call
    Given a running "idle-engines" fleet
    And "caddie-llm" has 3 ready runners within 5 s
    When version "v2" of "caddie" is applied while calls are made
    Then "caddie-llm" serves "v2" on 3 runners within 40 s
    And every call got a complete response
    And "caddie-llm" never had fewer than 2 ready runners

  Scenario: A version that fails to load stops its roll-out
    Given a running "idle-engines" fleet
    And "caddie-llm" has 3 ready runners within 5 s
    When version "broken" of "caddie" is applied
    Then "caddie-llm" reports "version broken does not load" within 20 s
    And "caddie-llm" has 2 ready runners within 1 s
    And responses are complete through every host
    When version "v3" of "caddie" is applied
    Then "caddie-llm" serves "v3" on 3 runners within 40 s

  Scenario Outline: An invalid configuration is rejected and the old one stays active
    Given a running "small" fleet
    When a configuration with <fault> is applied
    Then it is rejected with "<finding>"
    And the active revision is unchanged
    And responses are complete through every host

    Examples:
      | fault            | finding                                                |
      | a cycle          | circular dependency: caddie-llm -> fleet-api           |
      | an unknown model | no model is called 'cadie' (did you mean 'caddie'?)    |
