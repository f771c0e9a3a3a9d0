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
