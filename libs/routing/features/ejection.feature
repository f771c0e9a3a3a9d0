Feature: Outlier ejection
  Names that failed lately are avoided, unless most of them are.

  Scenario: A failing name is avoided for a while
    Given candidates "a,b,c,d" and ejection after 2 failures
    When "a" fails 2 times
    Then the healthy ones are "b,c,d"
    When 2 s go by
    Then the healthy ones are "a,b,c,d"

  Scenario: A success ends the count
    Given candidates "a,b,c,d" and ejection after 2 failures
    When "a" fails 1 times
    And "a" succeeds
    And "a" fails 1 times
    Then the healthy ones are "a,b,c,d"

  Scenario: Past the panic threshold all are used
    Given candidates "a,b,c,d" and ejection after 2 failures
    When "a" fails 2 times
    And "b" fails 2 times
    Then the healthy ones are "c,d"
    When "c" fails 2 times
    Then the healthy ones are "a,b,c,d"
