Feature: What runs where, as separate processes
  Engines follow the operators' text through faults of theirs.

  Scenario: A killed engine is replaced by an idle one
    Given a running "idle-engines" fleet
    Then "caddie-llm" has 3 ready runners within 5 s
    When a ready engine is killed
    Then "caddie-llm" has 2 ready runners within 5 s
    And "caddie-llm" tells a failure
    And "caddie-llm" has 3 ready runners within 25 s

  Scenario: An engine that restarted empty gets its order again
    Given a running "idle-engines" fleet
    And "caddie-llm" has 3 ready runners within 5 s
    When a ready engine is killed
    Then "caddie-llm" has 2 ready runners within 5 s
    When it is started again
    Then "caddie-llm" has 3 ready runners within 10 s
    And no other engine got an order

  Scenario: A new version is rolled out under load without an unanswered call
    Given a running "idle-engines" fleet
    And "caddie-llm" has 3 ready runners within 5 s
    When version "v2" of "caddie" is applied while calls are made
    Then "caddie-llm" serves "v2" on 3 runners within 40 s
    And every call was answered whole
    And "caddie-llm" never had fewer than 2 ready runners

  Scenario: A version that does not load stops its roll-out
    Given a running "idle-engines" fleet
    And "caddie-llm" has 3 ready runners within 5 s
    When version "broken" of "caddie" is applied
    Then "caddie-llm" tells "version broken does not load" within 20 s
    And "caddie-llm" has 2 ready runners within 1 s
    And answers are whole through every host
    When version "v3" of "caddie" is applied
    Then "caddie-llm" serves "v3" on 3 runners within 40 s

  Scenario Outline: A text with findings is refused and the old one stays
    Given a running "small" fleet
    When a text with <fault> is applied
    Then it is refused with "<finding>"
    And the revision in force is as before
    And answers are whole through every host

    Examples:
      | fault          | finding                                                |
      | a cycle        | circular dependency: caddie-llm -> fleet-api           |
      | a missing name | no model is called 'cadie' (did you mean 'caddie'?)    |
