Feature: A host stays registered in the store
  The others find a host by its entry; it is written until it is right.

  Scenario: An entry that could not be replaced at first is replaced later
    Given the store has an entry of the host with another address
    And the store goes away when the host has read it
    When the host registers and the store comes back
    Then the entry has the address of the host

  Scenario: An entry that the former process removes late is written again
    Given the host is registered
    When the entry is removed by the former process of the host
    Then the entry has the address of the host

  Scenario: A host that leaves does not register again
    Given the host is registered
    When the host deregisters
    Then the store has no entry of the host
