Feature: A host runs the jobs that it owns, whatever became of their former runs

  Background:
    Given a simulated fleet of 3 hosts and 1 runner

  Scenario: A job whose stopped run does not end is run again by its host
    Given the run of a job at its host ends only long after it is cancelled
    When the job is taken away from its host and given back
    Then the items of the job are listed within 8 s
