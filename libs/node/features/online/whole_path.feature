Feature: End-to-end path
  Requests, calls and jobs pass through separate processes.

  Scenario: A generation, a plain call and a job on one fleet
    Given a running "small" fleet
    When 20 tokens for "What is a loose impediment?" are requested through each host
    Then every answer is complete
    When "/battery/7" of "fleet-api" is called with "cart 7" through each host
    Then every call returns "cart 7"
    When a job of 30 items is submitted through the first host
    Then the job completes with an answer for each item, read through the last host

  Scenario Outline: The example deployments serve through each host
    Given a running "<name>" fleet
    When "/any" of "<plain>" is called with "seven" through each host
    Then every call returns "seven"
    And "<engine>" gives a complete answer through each host

    Examples:
      | name     | plain         | engine     |
      | lima     | fleet-api     | caddie-llm |
      | mu-north | catalogue-app | fitter-llm |
