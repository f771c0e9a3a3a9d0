Feature: Runner selection
  Requests with the same prefix go to one runner while its load is within a bound.

  Scenario: A prefix stays on one runner while runners are free
    Given 5 runners
    Then the same runner comes first for 50 prompts with one prefix

  Scenario: A prefix that overloads its runner overflows to another
    Given 5 runners
    When the preferred runner has 20 requests and the others 2
    Then the preferred runner is not first

  Scenario: Reported load is corrected by the requests sent since
    Given 2 runners
    When "runner-0" reports 4 online and 4 batch with capacity 8
    Then the occupancy of "runner-0" is 0.5 for online and 1.0 for batch
    When 2 requests are sent to "runner-0"
    Then the occupancy of "runner-0" is 0.75 for online and 1.25 for batch
    When 4 s pass without a report
    Then the occupancy of "runner-0" is 0.25 for online and 0.25 for batch
