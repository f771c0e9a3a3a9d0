Feature: Decisions on jobs
  What is accepted, what runs next, and how much of a minute batch may use.

  Scenario: A job is cut into chunks that fit their objects
    When 450 items of 64 tokens come in pieces of 1000 bytes
    Then the chunks have 200, 200 and 50 items

  Scenario: Items with large answers make smaller chunks
    When 5 items of 20000 tokens come in pieces of 7 bytes
    Then the chunks have 2, 2 and 1 items

  Scenario: Lines that are wrong are found together
    When the lines "{}", "[1]", "x" come in
    Then findings are at lines "1,2,3"

  Scenario Outline: What follows a failed run
    Given an item of 2 tries that failed <n_failed> times before
    When a run ends as "<outcome>" with "<reason>"
    Then the item is <next>

    Examples:
      | n_failed | outcome | reason      | next                 |
      | 0        | ran     | preempted   | resumed              |
      | 1        | ran     | preempted   | resumed              |
      | 0        | unknown | runner_lost | resumed              |
      | 1        | unknown | runner_lost | given up after 2     |
      | 1        | not_run | overloaded  | resumed              |
      | 0        | not_run | quarantined | given up after 0     |

  Scenario: The earliest deadline goes first until its workspace is far ahead
    Given jobs "a1:a:100, a2:a:200, b1:b:300"
    When 300 items of workspace "a" were served
    Then the order is "a1,a2,b1"
    When 300 items of workspace "a" were served
    Then the order is "b1,a1,a2"

  Scenario Outline: Forecast of a job
    When <done> of 100 items are done after <elapsed> s with <left> s left
    Then the forecast is "<prospect>"

    Examples:
      | done | elapsed | left | prospect |
      | 50   | 100     | 200  | on_time  |
      | 50   | 100     | 110  | at_risk  |
      | 50   | 100     | 90   | late     |
      | 50   | 100     | -1   | late     |
      | 0    | 10      | 100  | on_time  |
      | 0    | 90      | 100  | at_risk  |

  Scenario: Hosts that race and lose answers never take more than the pool
    Given a pool of 1000 for 5 hosts
    When they take slices 500 times with seed 3, one answer in 4 lost
    Then what they were granted is at most 1000
