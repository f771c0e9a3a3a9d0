Feature: News of the platform's store
  One host of a data centre watches the store and passes on what it hears.

  Background:
    Given a fleet of 3 hosts on the platform
    And plain runners "p1"
    And one host watches the store for all
    # 2 s is how long the platform lets a change, or a runner that drains, go unheeded

  Scenario: A change reaches the hosts that do not watch
    When the operator adds the route "/new/" as version 2
    Then a caller gets status 200 for "/new/1" at each host within 2 s

  Scenario: A killed watcher holds up no change
    When the host that watches the store is killed
    And the operator adds the route "/new/" as version 2
    Then a caller gets status 200 for "/new/1" at each host within 2 s

  Scenario: A host that begins to watch reads what the store's history has lost
    When the host that watches the store is killed
    And the operator adds the route "/new/" as version 2 and every watch misses it
    Then a caller gets status 200 for "/new/1" at each host within 2 s

  Scenario: A watcher cut off from the store holds up no change
    When the host that watches the store is cut off from it
    And the operator adds the route "/new/" as version 2
    Then a caller gets status 200 for "/new/1" at each host within 2 s

  Scenario: A runner that leaves is known to leave at every host
    When runner "p1" reports that it is draining
    Then within 2 s no host gives it new work

  Scenario: Jobs are known to every host without their items
    When the job "j1" of 3 items is submitted at "h0"
    Then every host knows the job "j1" within 3 s

  Scenario: An outage that its watcher saw is told to a host that did not see it
    When the entry of "p1" lapses while the watcher alone sees the store away
    Then the hosts that do not watch still know "p1" 1 s later
    And no host knows "p1" 4 s later

  Scenario: Hosts know how many cores the others may use
    Then each host knows the cores of 3 hosts
