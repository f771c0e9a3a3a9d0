Feature: Items that are owed are placed
  An item of an open job is at a runner, or waits where somebody can place it.

  Background:
    Given a fleet of 3 hosts on the platform
    And engines "e1"

  Scenario: An item that waits at a host that is the home no longer is placed
    Given the home of the engines has stopped
    And the next home counts 4 requests of hosts that are gone at each engine
    When the job "j1" of 2 items is submitted away from the home
    And its 2 items wait at the home
    And the stopped host is back and the engines are free
    Then each host returns the same 2 complete results of "j1"

  Scenario: Items that wait for their route hold up no items of other routes
    Given the engines have no free slots
    When the job "j1" of 70 items is submitted at "h0"
    And the route of "j1" is removed while the route "noon" stays
    And the engines have free slots
    And the job "j2" of 2 items is submitted under "/noon/" at "h0"
    Then the job "j2" has 2 results within 5 s

  Scenario: A job that a draining host accepts is run by a host that stays
    When the host "h0" begins to drain and the job "j1" of 2 items is submitted there
    Then the items of "j1" are at a runner before "h0" has drained

  Scenario: An item's id leads to its state, place and age while its owner runs it
    Given the engines have no free slots
    When the job "j1" of 2 items is submitted away from the home
    And its 2 items wait at the home
    Then the dump of its host tells that "j1-1" waits for a slot at the home

  Scenario: An item's id leads to its job while nobody runs it
    Given the engines have no free slots
    When the job "j1" of 2 items is submitted at "h0"
    And every host knows the job "j1"
    And the host "h0" is gone
    Then the dumps of the other hosts tell that "j1-1" has no worker
