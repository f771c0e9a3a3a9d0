Feature: The lease of a region
  One host at a time may act, by each host's own clock and the lease's version.

  Scenario: The first host to write holds the lease
    Given hosts "a,b,c" and no lease
    When 2 s pass
    Then one host may act

  Scenario: Another host takes over from a killed one within a bound
    Given hosts "a,b,c" and a lease held by "a"
    When "a" is killed
    And 6 s pass
    Then one host may act, and it is not "a"
    And nobody could act for at least 1 s in between

  Scenario: A released lease is taken over at once
    Given hosts "a,b,c" and a lease held by "a"
    When "a" drains
    And 2 s pass
    Then one host may act, and it is not "a"

  Scenario: A holder that was paused does not act when it wakes
    Given hosts "a,b,c" and a lease held by "a"
    When "a" is paused
    And 8 s pass
    And "a" wakes
    Then "a" may not act before it has read the lease
    And 3 s pass
    And one host may act, and it is not "a"

  Scenario: A holder cut off from the platform stops and comes back
    Given hosts "a" and a lease held by "a"
    When the platform is down
    And 4 s pass
    Then no host may act
    When the platform is up
    And 3 s pass
    Then one host may act

  Scenario: A holder whose renewal had no answer reads before it acts
    Given hosts "a,b" and a lease held by "a"
    When the next write of "a" takes effect without an answer
    And 2 s pass
    Then the last thing that "a" did before it could act again was a read and a write
    And fencing numbers only grew

  Scenario: Later candidates look more seldom
    Given 370 hosts and a lease held by one of them
    When 60 s pass
    Then the platform had at most 25 calls a second

  Scenario: Whatever is lost, paused or cut, two hosts never act at once
    Then in 200 drawn histories at most one host may act at any moment
