Feature: Unexpected errors in the work of a host
  Work that goes on for as long as a host runs is supervised: an unexpected error ends one
  step of it, not the work, and not the process.

  Scenario: Each supervised work goes on after an unexpected error
    When two hosts start whose supervised work fails once each
    Then at least 6 kinds of work have failed, and each was started again on both hosts
    Given engines "e1"
    And plain runners "p1"
    When the operator adds the route "/new/" as version 2
    Then a caller gets status 200 for "/new/1" at each host within 4 s
    When a caller requests "/ask/1" at "h0" as "q1"
    Then the caller gets events 1 to 10, complete

  Scenario: An odd change of a kind ends neither the feed nor the host
    Given a fleet of 2 hosts on the platform
    And plain runners "p1"
    And one host watches the store for all hosts
    When the next change that another host applies fails unexpectedly
    And the operator adds the route "/new/" as version 2
    Then a caller gets status 200 for "/new/1" at each host within 4 s
