Feature: Membership and replication of the configuration, with separate processes

  Scenario: A killed host is removed from the addresses
    Given a running "control" fleet with datagram fault injection
    When a host is killed
    Then within 20 s no other host lists it in its addresses

  Scenario: A frozen host rejoins after it resumes
    Given a running "control" fleet with datagram fault injection
    When a host is frozen until the others declare it dead
    And it is resumed
    Then within 15 s every host has 6 hosts in its view
    And no other host was ever declared dead

  Scenario: A leaving host is removed from the addresses although the host list lags
    Given a running "control" fleet with datagram fault injection
    And the host list lags by 30 s
    When a host gets SIGTERM
    Then within 3 s no other host lists it in its addresses
    And it exits with code 0

  Scenario: A partition in one direction removes no host
    Given a running "control" fleet with datagram fault injection
    When datagrams from the second host to the third are blocked for 15 s
    Then no host was ever declared dead

  Scenario: An accepted configuration reaches every host during a platform outage
    Given a running "control" fleet with datagram fault injection
    When 5 percent of datagrams are lost
    And a configuration is applied right before the platform goes down
    Then within 4 s the configuration is active on every host

  Scenario: A host that starts during a platform outage fetches the configuration from peers
    Given a running "control" fleet with datagram fault injection
    When the platform is down
    And a host is killed and restarted
    Then within 20 s the configuration is active on every host
    And within 20 s every host has 6 hosts in its view

  Scenario: A host without a configuration serves nothing and is listed nowhere
    Given a running "control" fleet with datagram fault injection
    When the platform is down
    And a host unknown to the fleet starts without seeds
    Then it responds to "/v1/addresses" with status 503
    And within 1 s no other host lists it in its addresses
    When the platform recovers with it in the host list
    Then within 15 s every host has 7 hosts in its view

  Scenario: The configuration's revision never decreases
    Given a running "control" fleet with datagram fault injection
    When a configuration is applied while a host is frozen
    And the host is resumed and all hosts are restarted one after another
    Then no host's revision ever decreased
    And within 10 s the configuration is active on every host

  Scenario: The whole fleet recovers when all hosts restart at once
    Given a running "control" fleet with datagram fault injection
    When all hosts are killed and restarted at once, the platform slowed by 0.5 s
    Then within 20 s the configuration is active on every host
    And within 30 s every host has 6 hosts in its view

  @cell.editors.configuration.before
  Scenario: Of two concurrent editors one wins and the other gets a conflict
    Given a running "control" fleet with datagram fault injection
    When "ana" and "ben" apply different configurations at once through two hosts
    Then one is accepted and the other gets the winner's name and revision
    And within 4 s the winner's configuration is active on every host

  Scenario: Status names the hosts that lack the latest configuration
    Given a running "control" fleet with datagram fault injection
    When a configuration is applied while a host is frozen
    Then within 8 s status reports "5 of 6" and names the frozen host
    When it is resumed
    Then within 15 s status reports "6 of 6"

  Scenario: An expected revision that is no number does not count as a fault of the host
    Given a running "control" fleet with datagram fault injection
    When a configuration is applied with the expected revision "twelve"
    Then it is refused with status 400
