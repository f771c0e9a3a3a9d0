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

  Scenario: A job that is over stops all its runs
    Given the run of "i2" does not end
    When the job runs
    And the job is cancelled by its caller
    Then no item of the job is owed
