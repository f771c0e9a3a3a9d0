Feature: The search for a standby of a silent runner

  Scenario: A request is not moved from a silent runner to the same one
    Given a search beside the silent runner "e1"
    When the home grants "e1,e2"
    Then "e2" is found after 0.1 s or more
    And only the slot of "e2" is held

  Scenario: A runner that failed before is used once no other is left
    Given a search beside the silent runner "e1", after "e2" has failed
    When the home grants only what is not avoided, of "e1,e2"
    Then "e2" is found after 0.1 s or more
    And only the slot of "e2" is held

  Scenario: A runner that is ready at once is found at once
    Given a search beside the silent runner "e1"
    When the home grants "e2"
    Then "e2" is found within 0.1 s
    And only the slot of "e2" is held

  Scenario: A silent runner has time to be heard when others were silent as well
    Given a search beside the silent runner "e1"
    And "e2" does not answer
    When the home grants "e2,e3"
    Then "e3" is found after 0.2 s or more
    And only the slot of "e3" is held
