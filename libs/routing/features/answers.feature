Feature: Answer assembly
  A complete answer has each token once, in order, and its end mark.

  Scenario: Messages of an old attempt and duplicate tokens are dropped
    Given an answer in attempt 1
    When tokens 0 to 2 of attempt 1 arrive
    And attempt 2 begins
    And tokens 2 to 4 of attempt 1 arrive
    And tokens 1 to 5 of attempt 2 arrive
    And the end mark of 6 tokens of attempt 1 arrives
    And the end mark of 6 tokens of attempt 2 arrives
    Then tokens 0 to 5 were delivered and the answer is complete

  Scenario: A missing token fails the attempt
    Given an answer in attempt 1
    When tokens 0 to 2 of attempt 1 arrive
    Then token 4 of attempt 1 fails it

  Scenario Outline: An end mark with a wrong token count fails the attempt
    Given an answer in attempt 1
    When tokens 0 to 2 of attempt 1 arrive
    Then the end mark of <n> tokens fails it

    Examples:
      | n |
      | 2 |
      | 4 |

  Scenario: A stream without an end mark is incomplete
    Given an answer in attempt 1
    When tokens 0 to 2 of attempt 1 arrive
    Then the answer is incomplete
