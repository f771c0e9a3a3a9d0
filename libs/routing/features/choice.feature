Feature: Choice of a runner
  Requests with one prefix go to one runner while its load is within a bound.

  Scenario: A prefix keeps its runner among free runners
    Given 5 runners
    Then each of 50 prompts with one prefix gets one runner first

  Scenario: A prefix that fills its runner overflows to another
    Given 5 runners
    When the prefix's own runner has 20 requests and the others 2
    Then the prefix's own runner is not first

  Scenario: Load that homes told is moved on by what was sent since
    Given 2 runners
    When "runner-0" tells 4 online and 4 batch within 8
    Then the occupancy of "runner-0" is 0.5 for online and 1.0 for batch
    When 2 requests are sent to "runner-0"
    Then the occupancy of "runner-0" is 0.75 for online and 1.25 for batch
    When 4 s pass without word
    Then the occupancy of "runner-0" is 0.25 for online and 0.25 for batch
