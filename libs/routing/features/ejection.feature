Feature: Outlier ejection
  Candidates that failed recently are excluded, unless most of them failed.

  Scenario: A failing candidate is ejected for a while
    Given candidates "a,b,c,d" and ejection after 2 failures
    When "a" fails 2 times
    Then the healthy candidates are "b,c,d"
    When 2 s elapse
    Then the healthy candidates are "a,b,c,d"

  Scenario: A success resets the failure count
    Given candidates "a,b,c,d" and ejection after 2 failures
    When "a" fails 1 times
    And "a" succeeds
    And "a" fails 1 times
    Then the healthy candidates are "a,b,c,d"

  Scenario: Above the panic threshold all candidates are used
    Given candidates "a,b,c,d" and ejection after 2 failures
    When "a" fails 2 times
    And "b" fails 2 times
    Then the healthy candidates are "c,d"
    When "c" fails 2 times
    Then the healthy candidates are "a,b,c,d"
