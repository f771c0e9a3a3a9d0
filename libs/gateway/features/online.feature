Feature: Online requests
  A host sends a caller's request to a runner, and retries it only where that is safe.

  Background:
    Given a fleet of 2 hosts on the platform

  Scenario: A stream is forwarded completely
    Given engines "e1"
    When a caller requests "/ask/1" at "h0" as "q1"
    Then the caller gets events 1 to 10, complete
    And the response has the id "q1"
    And runner "e1" received "q1" once, addressed to it, with at most 5000 ms left

  Scenario: A broken stream is resumed after its last event at another runner
    Given engines "e1,e2"
    And every engine breaks streams after event 4
    When a caller requests "/alert/1" at "h0" as "q1" and engines recover after a break
    Then the caller gets events 1 to 10, complete
    And the runners received "q1" 2 times, the second time after event 4

  Scenario: A stalled stream is resumed at another runner
    Given engines "e1,e2"
    And every engine stalls after event 3
    When a caller requests "/alert/1" at "h0" as "q1" and engines recover after 0.2 s
    Then the caller gets events 1 to 10, complete

  Scenario: A stream that may not be retried is aborted after one attempt
    Given engines "e1,e2"
    And every engine breaks streams after event 4
    When a caller requests "/ask/1" at "h0" as "q1"
    Then the caller gets events 1 to 4, incomplete
    And the runners received "q1" 1 times

  Scenario: A request that no engine accepts is refused as not run, with a Retry-After
    Given engines "e1"
    And engine "e1" is full
    When a caller requests "/ask/1" at "h0" as "q1"
    Then the caller gets status 503 with a Retry-After header
    And the runners received "q1" 0 times

  Scenario: An engine never runs more streams than it has slots
    Given engines "e1"
    When 4 callers request "/alert/1" at both hosts at once
    Then every caller gets events 1 to 10, complete, or is refused and did not run
    And engine "e1" never ran more than 2 at once

  Scenario: An idempotent request is retried at another runner after a failure
    Given plain runners "p1,p2"
    And plain runner "p1" fails with 500
    When 6 callers request "/look/1" at both hosts at once
    Then every caller gets status 200

  Scenario: A non-idempotent request is not retried after a failure
    Given plain runners "p1,p2"
    And every plain runner fails with 500
    When a caller requests "/order/1" at "h0" as "q1"
    Then the caller gets status 500
    And the runners received "q1" 1 times

  Scenario: Unknown routes get 404, and new routes are served at once
    Given plain runners "p1"
    When a caller requests "/new/1" at "h0" as "q1"
    Then the caller gets status 404
    When the operator adds the route "/new/" as version 2
    Then a caller gets status 200 for "/new/1" at each host within 2 s
    When the operator writes version 1 without that route again
    Then a caller still gets status 200 for "/new/1" at each host

  Scenario: A runner whose entry is malformed is not used
    Given plain runners "p1,p2"
    When the entry of runner "p2" loses its address
    Then only "p1" is known as a runner

  Scenario: A draining runner gets no new requests
    Given plain runners "p1,p2"
    When runner "p1" reports that it is draining
    And 6 callers request "/look/1" at both hosts at once
    Then every caller gets status 200
    And runner "p1" received no requests

  Scenario: A request to an address that now belongs to another runner does not run
    Given plain runners "p1"
    And the address of "p1" now belongs to another runner
    When a caller requests "/order/1" at "h0" as "q1"
    Then the caller gets status 503 with a Retry-After header
    And the runners received "q1" 0 times

  Scenario: A stream is aborted at its route's timeout
    Given engines "e1"
    And every engine stalls after event 3
    And the operator sets the timeout of all routes to 0.5 s as version 2
    When a caller requests "/ask/1" at "h0" as "q1"
    Then the caller gets events 1 to 3, incomplete
    And the response took between 0.3 s and 1 s

  Scenario: A plain request fails with 504 at its route's timeout
    Given unresponsive plain runners "p1"
    And the operator sets the timeout of all routes to 0.5 s as version 2
    When a caller requests "/order/1" at "h0" as "q1"
    Then the caller gets status 504
    And the response took between 0.3 s and 1 s

  Scenario: A caller that disconnects cancels its request
    Given engines "e1"
    And every engine stalls after event 3
    When a caller requests "/ask/1" at "h0" as "q1" and disconnects
    Then engine "e1" is idle within 0.5 s

  Scenario: A draining host completes its requests and accepts no new callers
    Given slow engines "e1"
    When a caller requests "/ask/1" at "h0" as "q1" and the host is drained
    Then the caller gets events 1 to 40, complete
    And host "h0" reports that it is not ready
    And only "h1" is in the addresses that "h1" returns

  Scenario: A change made while the store loses its history is found
    Given plain runners "p1"
    And the store loses its history
    When plain runner "p2" joins
    Then a caller gets status 200 for "/look/1" at each host within 2 s

  Scenario: A runner whose entry expires during an outage is kept for a while
    Given plain runners "p1"
    And the store refuses every call
    When the entry of runner "p1" expires and the store is back
    Then a caller still gets status 200 for "/look/1" at each host
    And runner "p1" is removed within 3 s

  # Guards against requests to a runner that left well after an outage (review/5)
  Scenario: A runner that leaves after an outage is not taken for one that is to return
    Given plain runners "p1"
    And the store refuses every call
    When the entry of runner "p1" is removed 3.4 s after the store is back
    Then runner "p1" is removed within 1 s

  Scenario: A request that crashes engines is refused after three crashes
    Given engines "e1,e2,e3"
    And every engine crashes on each request
    When a caller requests "/alert/same" 6 times at different hosts
    # A fourth run may start before the home has received the third crash report.
    Then the engines received "/alert/same" 3 or 4 times

  Scenario Outline: A runner gets no more requests than the limit that it has named
    Given <runners> with 8 slots
    And runner "r1" names a limit of 2 requests a second
    When callers send 16 requests a second to "<path>" at both hosts for 8 s
    Then in any 4 s from second 3 on runner "r1" gets at most 17 requests and at least 6
    And the callers' requests are served or refused within 1 s, 9 of 10 are served

    Examples:
      | runners                 | path   |
      | engines "r1,r2,r3"      | /ask/  |
      | plain runners "r1,r2"   | /look/ |

  Scenario: A stream that ends with its connection is forwarded completely
    Given an engine "e1" whose answers are "unframed"
    When a caller requests "/ask/1" at "h0" as "q1"
    Then the caller gets events 1 to 10, complete

  Scenario: A stream without a length does not look complete when its runner crashed
    Given an engine "e1" whose answers are "unframed, crashes"
    When a caller requests "/ask/1" at "h0" as "q1"
    Then the caller gets events 1 to 5, incomplete

  Scenario Outline: An answer without end takes neither the caller's time nor much memory
    Given <runner> "r1" whose answers are "<script>"
    When a caller requests "<path>" at "h0" as "q1"
    Then the caller gets no complete answer within 5.5 s
    And runner "r1" has closed connections and sent at most <sent> MB in all

    Examples:
      | runner          | path    | script                | sent |
      | an engine       | /ask/1  | endless head          | 8    |
      | an engine       | /ask/1  | endless interim heads | 8    |
      | an engine       | /ask/1  | endless body          | 16   |
      | an engine       | /ask/1  | endless drip          | 1    |
      | a plain runner  | /look/1 | endless head          | 8    |
      | a plain runner  | /look/1 | endless body          | 32   |
      | a plain runner  | /look/1 | endless drip          | 1    |

  Scenario: A report without end does not keep a runner's home busy
    Given an engine "r1" whose answers are "unframed" and whose reports have no end
    When a caller requests "/ask/1" at "h0" as "q1"
    Then the caller gets events 1 to 10, complete
    And runner "r1" has closed connections and sent at most 64 MB in all

  Scenario: A stream under which two runners crashed is not tried at a third
    Given engines "e1,e2,e3"
    And every engine crashes on each request
    When a caller requests "/urgent/same" 1 times at different hosts
    Then the engines received "/urgent/same" 2 or 2 times

  Scenario: A plain request that crashes runners is refused on all hosts
    Given plain runners "p1,p2,p3"
    And every engine crashes on each request
    When a caller requests "/look/same" 4 times at different hosts
    And all hosts know a suspect
    And a caller requests "/look/same" 8 times at different hosts
    Then the last 3 requests got status 503
    And the engines received "/look/same" 3 to 8 times

  Scenario: Requests whose connections break while the runners live are not refused
    Given engines "e1,e2,e3"
    And every engine aborts each request
    When a caller requests "/alert/same" 3 times at different hosts
    And every engine recovers
    And a caller requests "/alert/same" at "h0" as "q9"
    Then the caller gets events 1 to 10, complete

  Scenario: All objects are listed again after a watch is aborted
    Given plain runners "p1"
    When the operator adds the route "/new/" as version 2 and every watch misses it
    Then a caller gets status 200 for "/new/1" at each host within 3 s

  Scenario: Headers up to the configured limit are accepted, larger ones are refused
    Given plain runners "p1"
    When a caller requests "/look/1" at "h0" with 16310 bytes of headers
    Then the caller gets status 200
    When a caller requests "/look/1" at "h0" with 40000 bytes of headers
    Then the caller gets status 431

  Scenario: Prompts with a part that crashes runners do not crash one runner after another
    Given engines "e1,e2,e3,e4"
    And engines end when they answer a prompt with the part "deadly"
    When both hosts get 16 prompts "system,subject,deadly", each before one "system,subject"
    Then at most 3 prompts with the part "deadly" ran after the fifth crash
    And the last 4 prompts without it are answered completely

  Scenario: Hosts that restart still refuse prompts with a part that crashed runners
    Given engines "e1,e2,e3,e4"
    And engines end when they answer a prompt with the part "deadly"
    When both hosts get 6 prompts "system,subject,deadly", each before one "system,subject"
    And all hosts are killed and started again
    And both hosts get 6 prompts "system,subject,deadly", each before one "system,subject"
    And all hosts are killed and started again
    And both hosts get 6 prompts "system,subject,deadly", each before one "system,subject"
    Then at most 3 prompts with the part "deadly" ran after the fifth crash
    And the last 4 prompts without it are answered completely

  Scenario Outline: A broken stream is not continued by what is no continuation of it
    Given an engine "r1" whose answers are "<take_up>"
    And an engine "r2" whose answers are "<take_up>"
    When a caller requests "/urgent/1" at "h0" as "q1"
    Then the caller gets events 1 to <last>, incomplete, and no other bytes
    When a caller takes up "/urgent/1" after event 4 at "h1" as "q2"
    Then the caller gets no bytes but events 5 to <last>, and no complete answer

    Examples:
      | take_up                           | last |
      | an error                          | 4    |
      | an error's text with status 200   | 4    |
      | an empty document with status 200 | 4    |
      | the stream from its start         | 4    |
      | the stream after a gap            | 4    |
      | the stream less one event         | 6    |
      | an event without an id            | 4    |
      | an error's head within an event   | 4    |
      | half an event                     | 4    |

  Scenario: A stream whose end alone was lost is complete when nothing follows its last event
    Given an engine "r1" whose answers are "nothing"
    And an engine "r2" whose answers are "nothing"
    When a caller requests "/urgent/1" at "h0" as "q1"
    Then the caller gets events 1 to 4, complete

  Scenario: A new stream without any event does not look complete
    Given an engine "r1" whose answers are "a new stream without events"
    When a caller requests "/ask/1" at "h0" as "q1"
    Then the caller gets no complete answer within 5.5 s

  Scenario: A stream that was taken up wrongly goes on at a third runner
    Given an engine "r1" whose answers are "the stream less one event"
    And an engine "r2" whose answers are "the stream less one event"
    When a caller requests "/urgent/1" at "h0" as "q1" and an engine "e1" joins
    Then the caller gets events 1 to 10, complete
