Feature: Requests that callers wait for
  A host takes a caller's request to a runner, and repeats only what may be repeated.

  Background:
    Given a fleet of 2 hosts on the platform

  Scenario: A stream is passed on whole
    Given engines "e1"
    When a caller asks "/ask/1" at "h0" as "q1"
    Then the caller gets events 1 to 10, whole
    And the answer bears the id "q1"
    And runner "e1" saw "q1" once, expecting itself, with a deadline of at most 5000 ms

  Scenario: A broken stream goes on behind its last event at another runner
    Given engines "e1,e2"
    And every engine breaks streams behind event 4
    When a caller asks "/alert/1" at "h0" as "q1" and all engines are sound after a break
    Then the caller gets events 1 to 10, whole
    And the runners saw "q1" 2 times, the second time behind event 4

  Scenario: A silent stream is left for another runner
    Given engines "e1,e2"
    And every engine falls silent behind event 3
    When a caller asks "/alert/1" at "h0" as "q1" and all engines are sound after 0.2 s
    Then the caller gets events 1 to 10, whole

  Scenario: A stream that may not be repeated ends broken and ran once
    Given engines "e1,e2"
    And every engine breaks streams behind event 4
    When a caller asks "/ask/1" at "h0" as "q1"
    Then the caller gets events 1 to 4, broken off
    And the runners saw "q1" 1 times

  Scenario: A request that no engine takes is refused as not run, with a time to return
    Given engines "e1"
    And engine "e1" is full
    When a caller asks "/ask/1" at "h0" as "q1"
    Then the caller gets status 503 with a time to return
    And the runners saw "q1" 0 times

  Scenario: No more streams run at an engine than it has slots
    Given engines "e1"
    When 4 callers ask "/alert/1" at both hosts at once
    Then every caller gets events 1 to 10, whole, or is refused and did not run
    And engine "e1" never ran more than 2 at once

  Scenario: An idempotent request is repeated at another runner after a failure
    Given plain runners "p1,p2"
    And plain runner "p1" fails with 500
    When 6 callers ask "/look/1" at both hosts at once
    Then every caller gets status 200

  Scenario: A request that may run once is not repeated after a failure
    Given plain runners "p1,p2"
    And every plain runner fails with 500
    When a caller asks "/order/1" at "h0" as "q1"
    Then the caller gets status 500
    And the runners saw "q1" 1 times

  Scenario: Unknown routes have no answer, and new routes are served at once
    Given plain runners "p1"
    When a caller asks "/new/1" at "h0" as "q1"
    Then the caller gets status 404
    When the operator adds the route "/new/" as version 2
    Then a caller gets status 200 for "/new/1" at each host within 2 s
    When the operator writes version 1 without that route again
    Then a caller still gets status 200 for "/new/1" at each host

  Scenario: A runner's entry that can't be read names no runner
    Given plain runners "p1,p2"
    When the entry of runner "p2" loses its address
    Then only "p1" is known as a runner

  Scenario: A draining runner gets nothing new
    Given plain runners "p1,p2"
    When runner "p1" says that it drains
    And 6 callers ask "/look/1" at both hosts at once
    Then every caller gets status 200
    And runner "p1" saw nothing

  Scenario: An address that another runner has taken over runs nothing
    Given plain runners "p1"
    And the address of "p1" now belongs to another runner
    When a caller asks "/order/1" at "h0" as "q1"
    Then the caller gets status 503 with a time to return
    And the runners saw "q1" 0 times

  Scenario: A request ends at its route's time-out
    Given engines "e1"
    And every engine falls silent behind event 3
    And the operator gives the routes 0.5 s as version 2
    When a caller asks "/ask/1" at "h0" as "q1"
    Then the caller gets events 1 to 3, broken off
    And the answer took between 0.3 s and 1 s

  Scenario: A plain request ends at its route's time-out with 504
    Given silent plain runners "p1"
    And the operator gives the routes 0.5 s as version 2
    When a caller asks "/order/1" at "h0" as "q1"
    Then the caller gets status 504
    And the answer took between 0.3 s and 1 s

  Scenario: A caller that goes away ends the work
    Given engines "e1"
    And every engine falls silent behind event 3
    When a caller asks "/ask/1" at "h0" as "q1" and goes away
    Then nothing runs at engine "e1" within 0.5 s

  Scenario: A leaving host ends what it has and takes callers no more
    Given slow engines "e1"
    When a caller asks "/ask/1" at "h0" as "q1" and the host is told to leave
    Then the caller gets events 1 to 40, whole
    And host "h0" says that it is not ready
    And only "h1" is in the addresses that "h1" gives

  Scenario: A change made while history was lost is known all the same
    Given plain runners "p1"
    And the store loses its history
    When plain runner "p2" joins
    Then a caller gets status 200 for "/look/1" at each host within 2 s

  Scenario: Runners' entries that lapse during an outage are kept for a while
    Given plain runners "p1"
    And the store turns every call away
    When the entry of runner "p1" lapses and the store is back
    Then a caller still gets status 200 for "/look/1" at each host
    And runner "p1" is not known any more after 3 s

  Scenario: A request that crashes engines runs at three of them at most
    Given engines "e1,e2,e3"
    And every engine breaks off at once
    When a caller asks "/alert/same" 6 times at different hosts
    Then the engines saw "/alert/same" 3 or 4 times

  Scenario: After a watch is cut everything is read anew
    Given plain runners "p1"
    When the operator adds the route "/new/" as version 2 and every watch is cut unheard
    Then a caller gets status 200 for "/new/1" at each host within 3 s

  Scenario: Headers up to the operators' bound are taken, larger ones are not
    Given plain runners "p1"
    When a caller asks "/look/1" at "h0" with 16310 bytes of headers
    Then the caller gets status 200
    When a caller asks "/look/1" at "h0" with 40000 bytes of headers
    Then the caller gets status 431
