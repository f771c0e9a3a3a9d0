Feature: The lease of a region
  At most one host holds the lease at a time, without comparing the hosts' clocks.

  Scenario: The first host to write the lease object acquires the lease
    Given hosts "a,b,c" and no lease
    When 2 s pass
    Then one host may act

  Scenario: Another host takes over within 6 s when the holder is killed
    Given hosts "a,b,c" and a lease held by "a"
    When "a" is killed
    And 6 s pass
    Then one host may act, and it is not "a"
    And no host could act for at least 1 s in between

  Scenario: A lease released by a draining host is acquired by another within 2 s
    Given hosts "a,b,c" and a lease held by "a"
    When "a" drains
    And 2 s pass
    Then one host may act, and it is not "a"

  Scenario: A holder paused past its lease may not act when it resumes
    Given hosts "a,b,c" and a lease held by "a"
    When "a" is paused
    And 8 s pass
    And "a" resumes
    Then "a" may not act before it has read the lease
    And 3 s pass
    And one host may act, and it is not "a"

  Scenario: A holder that can't reach the platform stops acting until it can
    Given hosts "a" and a lease held by "a"
    When the platform is down
    And 4 s pass
    Then no host may act
    When the platform is up
    And 3 s pass
    Then one host may act

  Scenario: A holder whose renewal got no response reads the lease before it acts
    Given hosts "a,b" and a lease held by "a"
    When the next write of "a" takes effect but its response is lost
    And 2 s pass
    Then "a" read and then wrote the lease before it could act again
    And fencing tokens never decreased

  Scenario: Lower-ranked candidates poll less often, which bounds the platform's load
    Given 370 hosts and a lease held by one of them
    When 60 s pass
    Then the platform got at most 25 calls per second

  Scenario: Two hosts never act at once under random faults
    Then in 200 random fault histories at most one host may act at any moment
