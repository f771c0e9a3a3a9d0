Feature: Batch job logic
  Validation of uploads, scheduling, retries, forecasts and the usage budget.

  Scenario: An upload is split into chunks of at most 200 items
    When 450 items of 64 tokens are uploaded in blocks of 1000 bytes
    Then the chunks have 200, 200 and 50 items

  Scenario: Items with large results are split into smaller chunks
    When 5 items of 20000 tokens are uploaded in blocks of 7 bytes
    Then the chunks have 2, 2 and 1 items

  Scenario: All invalid lines are reported together
    When the lines "{}", "[1]", "x" are uploaded
    Then findings are reported for lines "1,2,3"

  Scenario Outline: Retry decision after a failed attempt
    Given an item with <n_failed> of at most 2 failed attempts
    When an attempt ends as "<outcome>" with "<reason>"
    Then the item is <next>

    Examples:
      | n_failed | outcome | reason      | next                             |
      | 0        | ran     | preempted   | resumed                          |
      | 1        | ran     | preempted   | resumed                          |
      | 0        | unknown | runner_lost | resumed                          |
      | 1        | unknown | runner_lost | given up after 2 failed attempts |
      | 1        | not_run | overloaded  | resumed                          |
      | 0        | not_run | quarantined | given up after 0 failed attempts |

  Scenario: Jobs are sorted by deadline, with those of over-served workspaces last
    Given jobs with id, workspace and deadline "a1:a:100, a2:a:200, b1:b:300"
    When 300 items of workspace "a" were served
    Then the order is "a1,a2,b1"
    When 300 items of workspace "a" were served
    Then the order is "b1,a1,a2"

  Scenario Outline: Completion forecast of a job
    When <done> of 100 items are finished after <elapsed> s with <left> s left
    Then the forecast is "<prospect>"

    Examples:
      | done | elapsed | left | prospect |
      | 50   | 100     | 200  | on_time  |
      | 50   | 100     | 110  | at_risk  |
      | 50   | 100     | 90   | late     |
      | 50   | 100     | -1   | late     |
      | 0    | 10      | 100  | on_time  |
      | 0    | 90      | 100  | at_risk  |

  Scenario: Concurrent hosts with lost responses never use more than the pool
    Given a pool of 1000 for 5 hosts
    When they acquire slices 500 times with seed 3 and on average 1 of 4 responses lost
    Then the granted total is positive and at most 1000

  Scenario: Results whose text is not ASCII do not exceed the estimate of their size
    Then no results take more bytes as JSON than estimated, nor 44 fewer for each
