Feature: The whole path
  Separate processes serve a request from end to end.

  Scenario: An answer, a plain call and a job through one fleet
    Given a running "small" fleet
    When "What is a loose impediment?" is asked for 20 tokens through each host
    Then every answer is whole
    When "/battery/7" of "fleet-api" is called with "cart 7" through each host
    Then every call is answered with "cart 7"
    When a job of 30 items is submitted through the first host
    Then the job completes with an answer for each item, read through the last host

  Scenario Outline: The example deployments serve through each host
    Given a running "<name>" fleet
    When "/any" of "<plain>" is called with "seven" through each host
    Then every call is answered with "seven"
    And "<engine>" gives a whole answer through each host

    Examples:
      | name     | plain         | engine     |
      | lima     | fleet-api     | caddie-llm |
      | mu-north | catalogue-app | fitter-llm |
