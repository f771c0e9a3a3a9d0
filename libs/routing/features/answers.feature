Feature: Whole answers
  An answer has each token once and in order, and its end mark.

  Scenario: Frames of an old attempt and duplicates are dropped
    Given an answer in attempt 1
    When tokens 0 to 2 of attempt 1 come
    And attempt 2 begins
    And tokens 2 to 4 of attempt 1 come
    And tokens 1 to 5 of attempt 2 come
    And the end mark of 6 tokens of attempt 1 comes
    And the end mark of 6 tokens of attempt 2 comes
    Then tokens 0 to 5 were delivered and the answer is whole

  Scenario: A missing token breaks the attempt
    Given an answer in attempt 1
    When tokens 0 to 2 of attempt 1 come
    Then token 4 of attempt 1 breaks it

  Scenario Outline: An end mark that does not match breaks the attempt
    Given an answer in attempt 1
    When tokens 0 to 2 of attempt 1 come
    Then the end mark of <n> tokens breaks it

    Examples:
      | n |
      | 2 |
      | 4 |

  Scenario: A stream without an end mark is not whole
    Given an answer in attempt 1
    When tokens 0 to 2 of attempt 1 come
    Then the answer is cut
