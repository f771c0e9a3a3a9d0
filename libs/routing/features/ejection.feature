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

  Scenario: Failures of one moment of silence count once
    Given candidates "a,b,c,d" and ejection after 1 failure, of bursts of 1 s
    When "a" fails 3 times
    And 0.8 s elapse
    And "a" fails 1 times
    And 0.4 s elapse
    Then the healthy candidates are "a,b,c,d"
    When "a" fails 1 times
    And 1.1 s elapse
    Then the healthy candidates are "b,c,d"
