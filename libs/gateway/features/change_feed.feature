Feature: Change feed of the platform's store
  One host of a data centre watches the store and forwards its changes to the others.

  Background:
    Given a fleet of 3 hosts on the platform
    And plain runners "p1"
    And one host watches the store for all hosts
    # The platform requires hosts to act on a change or a draining runner within 2 s

  Scenario: A change reaches the hosts that do not watch
    When the operator adds the route "/new/" as version 2
    Then a caller gets status 200 for "/new/1" at each host within 2 s

  Scenario: Changes still arrive after the watcher is killed
    When the host that watches the store is killed
    And the operator adds the route "/new/" as version 2
    Then a caller gets status 200 for "/new/1" at each host within 2 s

  Scenario: A new watcher reads a change that the store's history has lost
    When the host that watches the store is killed
    And the operator adds the route "/new/" as version 2 and every watch misses it
    Then a caller gets status 200 for "/new/1" at each host within 2 s

  Scenario: Changes still arrive while the watcher is partitioned from the store
    When the host that watches the store is partitioned from it
    And the operator adds the route "/new/" as version 2
    Then a caller gets status 200 for "/new/1" at each host within 2 s

  Scenario: Every host learns that a runner is draining
    When runner "p1" reports that it is draining
    Then within 2 s no host sends it new work

  Scenario: Every host knows a job, without its items
    When the job "j1" of 3 items is submitted at "h0"
    Then every host knows the job "j1" within 3 s

  Scenario: A store outage is known to the hosts that watch it and to those that read from them
    # After a store outage, hosts defer the removal of runners whose entries expire
    When the entry of "p1" expires in an outage of the store of 4 s
    Then every host still knows "p1" 1 s later
    And within 4 s no host knows "p1"

  Scenario: Hosts know the number of cores of the other hosts
    Then each host knows the cores of 3 hosts

  Scenario: After an outage of the store a single host reads it anew
    When the store is away for 3 s
    And one host watches the store for all hosts
    Then the other hosts have listed nothing since
    When the operator adds the route "/new/" as version 2
    Then a caller gets status 200 for "/new/1" at each host within 2 s
