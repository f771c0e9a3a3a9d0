Feature: Sources of the store's change feed
  One host of a data centre watches the store and relays changes to the others.

  Background:
    Given 8 hosts in each of the data centres "d1,d2"

  Scenario: All hosts of a data centre prefer the same source
    Then the hosts of "d1" have the same first three sources, all of "d1"
    And the first sources of "d1" and "d2" differ

  Scenario: Hosts of other data centres are fallback sources
    Then after its three local sources each host of "d1" has two of "d2"

  Scenario: Removing a host keeps the order of the others
    When the first source of "d1" is removed
    Then the hosts of "d1" have the former second source first

  Scenario: Strong hosts are preferred as sources
    When the hosts "d1-2,d1-5" have 2 cores and all others 0.5
    Then the hosts of "d1" have two of "d1-2,d1-5" first
    And all hosts of "d2" still have three sources of "d2" first
