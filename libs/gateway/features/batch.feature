Feature: Batch jobs kept in the platform's store
  What is accepted is stored; what is shown is what the store has.

  Background:
    Given a fleet of 3 hosts on the platform

  Scenario: A job is done and reads the same at each host
    Given engines "e1,e2"
    When the job "j1" of 5 items is submitted at "h0"
    Then it is accepted
    And the results of "j1" are 5 whole ones, the same at each host
    And the job "j1" is marked as done

  Scenario: Hosts read a job's results from the host that runs it
    Given engines "e1,e2"
    When the job "j1" of 5 items is submitted at "h0"
    Then the results of "j1" are 5 whole ones, the same at each host
    And only "h0" has read results from the store

  Scenario: A job that was accepted here is run without a read of the store
    Given engines "e1,e2"
    When the job "j1" of 3 items is submitted at "h0"
    Then the results of "j1" are 3 whole ones, the same at each host
    And "h0" read no job and wrote results once

  Scenario: A job that comes again is accepted once
    Given engines "e1,e2"
    When the job "j1" of 2 items is submitted at "h0"
    And the job "j1" of 2 items is submitted at "h1"
    Then it is accepted
    And the results of "j1" are 2 whole ones, the same at each host
    And no item ran twice

  Scenario: An acceptance whose answer is lost is an acceptance
    Given engines "e1,e2"
    And the store loses the next answer
    When the job "j1" of 2 items is submitted at "h0"
    And the job "j1" of 2 items is submitted at "h1"
    Then it is accepted
    And the results of "j1" are 2 whole ones, the same at each host

  Scenario: A host that the store turns away accepts jobs through another one
    Given engines "e1,e2"
    And the store can't be reached from "h0"
    When the job "j1" of 2 items is submitted at "h0"
    Then it is accepted
    And the results of "j1" are 2 whole ones, the same at each host

  Scenario: A job is not accepted while the store is away
    Given engines "e1"
    And the store turns every call away
    When the job "j1" of 2 items is submitted at "h0"
    Then it is refused with 503
    When the store is back
    Then no host knows the job "j1"

  Scenario: A job whose host is gone is finished by another host
    Given engines "e1,e2"
    And every engine falls silent behind event 3
    When the job "j1" of 3 items is submitted at "h0"
    And the host "h0" is gone and all engines are sound
    Then the results of "j1" are 3 whole ones, the same at each host

  Scenario: A broken item goes on behind its last event
    Given engines "e1,e2"
    And every engine breaks streams behind event 4
    When the job "j1" of 1 items is submitted at "h0"
    And an engine has broken an item and all engines are sound
    Then the results of "j1" are 1 whole ones, the same at each host

  Scenario: A jump of the time of day gives up no item
    Given engines "e1"
    And engine "e1" is full
    When the job "j1" of 2 items is submitted at "h0"
    And the wall clock jumps by 1000 s at "h0"
    And engine "e1" has free slots again after 1 s
    Then the results of "j1" are 2 whole ones, the same at each host

  Scenario: An item that was broken off three times runs again a while later
    Given engines "e1,e2,e3"
    And every engine breaks off at once
    When the job "j1" of 1 items is submitted at "h0"
    And the engines have aborted 3 attempts and abort no more
    Then the results of "j1" are 1 whole ones, the same at each host

  Scenario: An ended job starts no more items
    Given engines "e1"
    And every engine falls silent behind event 3
    When the job "j1" of 6 items is submitted at "h0"
    And its sender ends the job "j1" at "h1"
    Then no item of the job starts any more

  Scenario: An item that can never be done is listed as such
    Given engines "e1"
    And no item can be done
    When the job "j1" of 2 items is submitted at "h0"
    Then the results of "j1" are 2 failed ones

  Scenario: Tokens that wait are bounded over all hosts
    Given engines "e1"
    And every engine falls silent behind event 3
    When the job "j1" of 2 items of 4000 tokens is submitted at "h0"
    And every host knows the job "j1"
    And the job "j2" of 2 items of 4000 tokens is submitted at "h1"
    Then it is refused with 429

  Scenario: Online requests take the slots of batch items
    Given engines "e1"
    When the job "j1" of 2 items is submitted at "h0"
    And the items run
    And a caller asks "/ask/1" at "h1" as "q1"
    Then the caller gets events 1 to 10, whole
    And the results of "j1" are 2 whole ones, the same at each host

  Scenario: The body of an item is given back
    Given engines "e1"
    When the job "j1" of 2 items is submitted at "h0"
    Then each host gives the body of item "j1-0" of "j1"
