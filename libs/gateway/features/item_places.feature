Feature: The places of a host are for items that can be run
  A host runs 64 items of a service at once; what only waits holds up no others.

  Scenario: Items under which runners crash again and again hold up no others
    Given 64 items under which each runner crashes
    When an item that runs well is added
    Then it has a result within 1 s
