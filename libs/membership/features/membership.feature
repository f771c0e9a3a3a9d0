Feature: Which hosts are there
  Hosts probe each other; what they find out and the host list make each one's view.

  Scenario: A killed host leaves every view
    Given 30 hosts with seed 1
    When host "host-007" is killed
    Then it is out of every view within 15 s
    And no other host is out of any view

  Scenario Outline: Lost datagrams remove nobody
    Given 30 hosts with seed <seed>
    When <percent> percent of datagrams are lost
    And 180 s pass
    Then no host was ever removed from a view

    Examples:
      | seed | percent |
      | 1    | 5       |
      | 2    | 5       |
      | 3    | 10      |

  Scenario: A frozen host comes back and condemns nobody
    Given 30 hosts with seed 2
    When host "host-003" is frozen for 20 s
    Then it is out of every view within 1 s
    When it is thawed
    Then it is back in every view within 10 s
    And it never removed a host from its view

  Scenario: A cut in one direction between two hosts removes nobody
    Given 20 hosts with seed 3
    When datagrams from "host-001" to "host-002" are cut
    And 120 s pass
    Then no host was ever removed from a view

  Scenario: A host that hears nobody condemns nobody
    Given 20 hosts with seed 4
    When host "host-005" is cut off from all others
    And 60 s pass
    Then it still has 20 hosts in its view
    And it is out of the others' views

  Scenario: A host that leaves is out of every choice though the host list lags
    Given 120 hosts with seed 5
    When 5 percent of datagrams are lost
    And host "host-050" says that it leaves
    Then it is out of every choice within 3 s

  Scenario: A restarted host is known by its new incarnation
    Given 20 hosts with seed 6
    When host "host-004" is killed
    And it is started again after 1 s
    Then every view has its new incarnation within 10 s
    And no other host is out of any view

  Scenario: An address that went to a new host frees the old one's name
    Given 20 hosts with seed 7
    When host "host-004" is replaced by "host-new" at its address
    Then "host-004" is out of every view within 25 s
    And "host-new" is in every view

  Scenario: Halves that lose each other keep serving, and join again
    Given 20 hosts with seed 8
    When the two halves lose each other for 60 s
    Then each half sees exactly its own hosts
    When the halves reach each other again
    Then every view has 20 hosts within 60 s

  Scenario: The host list is a seed and the word on leaving
    Given 12 hosts with seed 9
    When the host list says that "host-001" leaves
    Then it is out of every choice within 1 s
    When the host list omits "host-002"
    And 60 s pass
    Then "host-002" is in every view
    When the host list names "host-999", which does not run
    Then it is out of every view within 40 s

  Scenario: A host without a configuration is in no view
    Given 12 hosts with seed 10
    When host "host-new" starts without a configuration
    And 20 s pass
    Then it is out of the others' views
    When it gets a configuration
    Then it is back in every view within 3 s

  Scenario: Datagrams stay small while many hosts fail at once
    Given 60 hosts with seed 11
    When 20 hosts are killed at once
    And 60 s pass
    Then no datagram was larger than 1400 bytes
    And no host sent more than 2000 bytes a second
