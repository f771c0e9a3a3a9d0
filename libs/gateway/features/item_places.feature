Feature: The places of a host are for items that can be run
  A host runs 64 items of a service at once; what only waits holds up no others.

  Scenario: Items under which runners crash again and again hold up no others
    Given 64 items under which each runner crashes
    When an item that runs well is added
    Then it has a result within 1 s

  Scenario: An attempt that is cancelled while it ends gives its slot back
    Given an item at a runner that lets go of it slowly
    When the slot of the item is revoked
    And the run of the item is cancelled while its attempt ends
    Then the slot of the item has been given back

  Scenario: An item that the only runner of its service failed asks for that one again
    Given an item whose only runner fails its first attempt
    Then it has a result within 1 s
    And no ask for a slot avoids the only runner
