Feature: Failure detection and gossip
  Each host derives its view from probes, gossip and the platform's host list.

  Scenario: A killed host is removed from every view
    Given 30 hosts with seed 1
    When host "host-007" is killed
    Then it is absent from every view within 15 s
    And no other host was ever declared dead

  Scenario Outline: Datagram loss removes no host from a view
    Given 30 hosts with seed <seed>
    When <percent> percent of datagrams are lost
    And 180 s pass
    Then no host was ever declared dead

    Examples:
      | seed | percent |
      | 1    | 5       |
      | 2    | 5       |
      | 3    | 10      |

  Scenario: A frozen host rejoins and declares no other host dead
    Given 30 hosts with seed 2
    When host "host-003" is frozen for 20 s
    Then it is absent from every view within 1 s
    When it is resumed
    Then it is in every view within 10 s
    And it never declared a host dead

  Scenario Outline: A host that is silent for a short time is declared dead by nobody
    Given 30 hosts with seed <seed>
    When host "host-003" is frozen for <still_s> s
    Then it is in every view within 0 s
    When it is resumed
    And 30 s pass
    Then no host was ever declared dead

    Examples:
      | seed | still_s |
      | 1    | 1       |
      | 2    | 1       |
      | 1    | 2       |
      | 2    | 3       |

  Scenario: A one-way partition between two hosts removes no host from a view
    Given 20 hosts with seed 3
    When datagrams from "host-001" to "host-002" are dropped
    And 120 s pass
    Then no host was ever declared dead

  Scenario: An isolated host declares no other host dead
    Given 20 hosts with seed 4
    When host "host-005" is partitioned from all others
    And 60 s pass
    Then it still has 20 hosts in its view
    And it is absent from the views of the others

  Scenario: A leaving host is no longer selected even if the host list is outdated
    Given 120 hosts with seed 5
    When 5 percent of datagrams are lost
    And host "host-050" announces that it is leaving
    Then no host selects it after at most 3 s

  Scenario: A restarted host is seen with its new incarnation
    Given 20 hosts with seed 6
    When host "host-004" is killed
    And it is started again after 1 s
    Then every view contains its new incarnation within 10 s
    And no other host was ever declared dead

  Scenario: A host whose address is reused by a new host is removed
    Given 20 hosts with seed 7
    When host "host-004" is replaced by "host-new" at its address
    Then "host-004" is absent from every view within 25 s
    And "host-new" is in every view

  Scenario: Both sides of a network partition keep serving and merge again
    Given 20 hosts with seed 8
    When the network is partitioned into halves for 60 s
    Then the view of each host contains exactly its own half
    When the partition heals
    Then every view has 20 hosts within 60 s

  Scenario: The host list adds hosts and marks them as leaving, but removes no live host
    Given 12 hosts with seed 9
    When the host list marks "host-001" as leaving
    Then no host selects it after at most 1 s
    When the host list omits "host-002"
    And 60 s pass
    Then "host-002" is in every view
    When the host list contains "host-999", which is not running
    Then it is absent from every view within 40 s

  Scenario: A host without a configuration is in no other host's view
    Given 12 hosts with seed 10
    When host "host-new" starts without a configuration
    And 20 s pass
    Then it is absent from the views of the others
    When it gets a configuration
    Then it is in every view within 3 s

  Scenario: Datagram size and rate stay bounded when many hosts fail at once
    Given 60 hosts with seed 11
    When 20 hosts are killed at once
    And 60 s pass
    Then no datagram was larger than 1400 bytes
    And the hosts sent at most 2000 bytes a second on average
