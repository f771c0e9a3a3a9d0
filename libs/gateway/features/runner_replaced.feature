Feature: The moment at which a silent runner is replaced

  Scenario: A runner that is heard in time is not looked after
    Given a wait for a runner that is heard after 0.05 s
    Then the wait ends with what it sent
    And no other runner was looked for

  Scenario: A runner that is heard while another is looked for keeps the request
    Given a wait for a runner that is heard after 0.2 s
    And a search that finds another runner after 0.5 s
    Then the wait ends with what it sent
    And nothing that was found is held

  Scenario: A silent runner is left once another one is found
    Given a wait for a runner that is heard after 0.5 s
    And a search that finds another runner after 0.05 s
    Then the runner is left for the one that was found

  Scenario Outline: A runner that is heard just when another one is found is not left with nothing held
    Given a wait for a runner that sends a part <n_turns> turns of the loop after another one is found
    Then the runner is left for the one that was found, or the wait ends and nothing is held

    Examples:
      | n_turns |
      | 0       |
      | 1       |
      | 2       |
      | 3       |

  Scenario: A caller who leaves while another runner is looked for leaves nothing held
    Given a wait for a runner that is heard after 0.5 s
    And a search that finds another runner after 0.05 s
    When the caller leaves as the runner is found
    Then nothing that was found is held
