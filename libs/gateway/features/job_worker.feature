Feature: A host runs each item of its jobs until its result is stored
  What goes wrong with one item is tried again and holds up no other item.

  Background:
    Given a host that owns the job "j1" of the items "i1,i2,i3"

  Scenario: An item whose run fails unexpectedly holds up no others and is taken up again
    Given the runs of "i2" fail unexpectedly 2 times
    When the job runs
    Then the job ends with results of "i1,i2,i3"
    And "i1" ran 1 times
    And "i2" ran 3 times
    And "i3" ran 1 times

  Scenario: An item whose run is cancelled is taken up while others still run
    Given the runs of "i2" are cancelled 1 times
    And the run of "i3" does not end
    When the job runs
    Then "i2" runs 2 times

  Scenario Outline: An item that stays in a state beyond its bound is taken up again
    Given the run of "i2" hangs 1 times in the state "<state>"
    When the job runs for <bound_s> s
    Then "i2" ran 1 times
    When 3 more seconds pass
    Then the job ends with results of "i1,i2,i3"

    Examples:
      | state              | bound_s |
      | waiting for a slot | 9       |
      | at a runner        | 129     |
      | ending an attempt  | 9       |
      | delayed before a retry | 9   |

  Scenario: An item is left to wait for its route, its turn and the store
    Given the run of "i1" hangs 1 times in the state "its route is not in force"
    And the run of "i2" hangs 1 times in the state "queued on this host"
    When the job runs for 300 s
    Then "i1" ran 1 times
    And "i2" ran 1 times

  Scenario: A job that is over stops all its runs
    Given the run of "i2" does not end
    When the job runs
    And the job is cancelled by its caller
    Then no item of the job is owed

  Scenario: An older list of the store takes no results from a job that runs here
    Given the run of "i3" does not end
    When the job runs
    And the results of "i1,i2" are stored
    And the host applies a list of the store from before the job
    Then the host returns the results of "i1,i2" of its job

  Scenario: The results of a job that runs here stay in the cache
    Given the run of "i3" does not end
    When the job runs
    And the results of "i1,i2" are stored
    And the host reads the results of 70 other jobs
    Then the host returns the results of "i1,i2" of its job

  Scenario: A host reads the store while its own write may have been applied
    Given the run of "i3" hangs 1 times in the state "at a runner"
    When the job runs
    And the results of "i1,i2" are stored
    And the result of "i3" is written, but the store is away from then on
    Then a read of the job from position 2 fails
    When the writer reaches the store again
    Then the host returns the results of "i1,i2,i3" of its job

  Scenario: A write that lasts long may have been applied
    Given the run of "i3" hangs 1 times in the state "at a runner"
    When the job runs
    And the results of "i1,i2" are stored
    And the result of "i3" is written, but the answer does not come
    Then another host that asks for the results from position 2 is told to read the store

  Scenario: A result that the former owner of a job writes after the takeover is read
    Given the run of "i1" does not end
    And the run of "i2" does not end
    And the run of "i3" does not end
    When the host takes over the job of "former"
    And "former" writes the result of "i1" after that
    Then the host returns the results of "i1" of its job
    And another host that asks for the results from position 1 is told to read the store

  Scenario: The dump tells of each open job who owns it and whether it runs
    Given the run of "i3" does not end
    And the job "j2" of the lost host "gone" is known
    When the job runs
    And the results of "i1,i2" are stored
    Then the dump tells that "j1" of "own" is run here with 2 of 3 items listed
    And the dump tells that "j2" of "gone" is run nowhere
    And the dump tells that the items "k1" of "j2" have no worker, for 0 s
    And 1 jobs count as without a live owner
    And the gauge of owed items is the 1 that the host runs

  Scenario: A read during a write waits for it and does not read the store
    Given the run of "i3" hangs 1 times in the state "at a runner"
    When the job runs
    And the results of "i1,i2" are stored
    And the result of "i3" is being written for 0.05 s
    Then a read of the job from position 2 returns "i3" without a call to the store

  Scenario: The dump tells of the items of a job whose owner can't read it
    Given the host knows its job, and the store is away
    When 7 more seconds pass
    Then no item of the job is owed
    And the dump tells that the items "i1,i2,i3" of "j1" have no worker, for 7 s
