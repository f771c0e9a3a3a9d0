Feature: Membership and the configuration in force, by separate processes

  Scenario: A killed host is out of the addresses
    Given a running "control" fleet whose datagrams can have faults
    When a host is killed
    Then within 20 s no other host names it in its addresses

  Scenario: A frozen host comes back after its thaw
    Given a running "control" fleet whose datagrams can have faults
    When a host is frozen until the others find it dead
    And it is thawed
    Then within 15 s every host has 6 hosts in its view
    And no other host was ever found dead

  Scenario: A host that leaves is out of the addresses though the host list lags
    Given a running "control" fleet whose datagrams can have faults
    And the host list lags by 30 s
    When a host gets SIGTERM
    Then within 3 s no other host names it in its addresses
    And it ends with exit code 0

  Scenario: A cut in one direction removes nobody
    Given a running "control" fleet whose datagrams can have faults
    When datagrams from the second host to the third are cut for 15 s
    Then no host was ever found dead

  Scenario: An accepted text is in force everywhere though the platform is down
    Given a running "control" fleet whose datagrams can have faults
    When 5 percent of datagrams are lost
    And a text is applied and the platform is down just after
    Then within 4 s the text is in force on every host

  Scenario: A host that starts while the platform is away takes the text from peers
    Given a running "control" fleet whose datagrams can have faults
    When the platform is down
    And a host is killed and started again
    Then within 20 s the text is in force on every host
    And within 20 s every host has 6 hosts in its view

  Scenario: A host without a configuration serves nothing and is named nowhere
    Given a running "control" fleet whose datagrams can have faults
    When the platform is down
    And a host that nobody knows starts without seeds
    Then it answers "/v1/addresses" with status 503
    And within 1 s no other host names it in its addresses
    When the platform comes back with it in the host list
    Then within 15 s every host has 7 hosts in its view

  Scenario: The configuration never goes back
    Given a running "control" fleet whose datagrams can have faults
    When a text is applied while a host is frozen
    And the host is thawed and all hosts are restarted one after another
    Then no host's revision ever went back
    And within 10 s the text is in force on every host

  Scenario: The whole fleet starts again from nothing
    Given a running "control" fleet whose datagrams can have faults
    When all hosts are killed and started at once with the platform slow by 0.5 s
    Then within 20 s the text is in force on every host
    And within 30 s every host has 6 hosts in its view

  @cell.editors.configuration.before
  Scenario: Of two editors one wins and the other learns who and what
    Given a running "control" fleet whose datagrams can have faults
    When "ana" and "ben" apply different texts at once through different hosts
    Then one is accepted and the other is told the winner's name and revision
    And within 4 s the winner's text is in force on every host

  Scenario: Status names the hosts that lack a text
    Given a running "control" fleet whose datagrams can have faults
    When a text is applied while a host is frozen
    Then within 8 s status tells "5 of 6" and names the frozen host
    When it is thawed
    Then within 15 s status tells "6 of 6"
