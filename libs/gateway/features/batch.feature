Feature: Batch jobs in the platform's store
  A job is accepted once it is stored, and the results returned are the stored ones.

  Background:
    Given a fleet of 3 hosts on the platform

  Scenario: A job completes, and each host returns the same results
    Given engines "e1,e2"
    When the job "j1" of 5 items is submitted at "h0"
    Then it is accepted
    And each host returns the same 5 complete results of "j1"
    And the job "j1" is marked as done

  Scenario: Hosts read a job's results from the host that runs it
    Given engines "e1,e2"
    When the job "j1" of 5 items is submitted at "h0"
    Then each host returns the same 5 complete results of "j1"
    And only "h0" has read results from the store

  Scenario: The host that accepted a job runs it without reading the store
    Given engines "e1,e2"
    When the job "j1" of 3 items is submitted at "h0"
    Then each host returns the same 3 complete results of "j1"
    And "h0" read no job and wrote results once

  Scenario: A repeated submission of a job is accepted without running it twice
    Given engines "e1,e2"
    When the job "j1" of 2 items is submitted at "h0"
    And the job "j1" of 2 items is submitted at "h1"
    Then it is accepted
    And each host returns the same 2 complete results of "j1"
    And no item ran twice

  Scenario: A job is accepted although the store's response to the write is lost
    Given engines "e1,e2"
    And the store loses the next response
    When the job "j1" of 2 items is submitted at "h0"
    And the job "j1" of 2 items is submitted at "h1"
    Then it is accepted
    And each host returns the same 2 complete results of "j1"

  Scenario: A host that can't reach the store accepts jobs through another host
    Given engines "e1,e2"
    And the store can't be reached from "h0"
    When the job "j1" of 2 items is submitted at "h0"
    Then it is accepted
    And each host returns the same 2 complete results of "j1"

  Scenario: A job is not accepted while the store is unavailable
    Given engines "e1"
    And the store refuses every call
    When the job "j1" of 2 items is submitted at "h0"
    Then it is refused with 503
    When the store is back
    Then no host knows the job "j1"

  Scenario: A job whose host has failed is completed by another host
    Given engines "e1,e2"
    And every engine stalls after event 3
    When the job "j1" of 3 items is submitted at "h0"
    And the host "h0" fails and all engines recover
    Then each host returns the same 3 complete results of "j1"

  Scenario: An item whose stream breaks is resumed after its last event
    Given engines "e1,e2"
    And every engine breaks streams after event 4
    When the job "j1" of 1 items is submitted at "h0"
    And an engine has broken the stream of an item and all engines recover
    Then each host returns the same 1 complete results of "j1"

  Scenario: A jump of the wall clock fails no item
    Given engines "e1"
    And engine "e1" is full
    When the job "j1" of 2 items is submitted at "h0"
    And the wall clock jumps by 1000 s at "h0"
    And engine "e1" has free slots again after 1 s
    Then each host returns the same 2 complete results of "j1"

  Scenario: An item that crashed three times is retried later
    Given engines "e1,e2,e3"
    And every engine crashes on each request
    When the job "j1" of 1 items is submitted at "h0"
    And the engines have crashed on 3 attempts and crash no more
    Then each host returns the same 1 complete results of "j1"

  Scenario: An item under which eight runners crashed is still placed again
    Given engines "e1,e2,e3"
    And every engine crashes on each request
    When the job "j1" of 1 items is submitted at "h0"
    And the engines have crashed on 8 attempts and crash no more
    Then each host returns the same 1 complete results of "j1"

  Scenario: Items whose slots another host asks for as well are still placed
    When the job "j1" of 2 items is submitted at the home of its service
    And another host asks for slots for the same 2 items of "j1"
    And an engine "e1" joins
    Then each host returns the same 2 complete results of "j1"

  Scenario Outline: Items get past a runner whose answers have no end
    Given an engine "r1" whose answers are "<script>"
    When the job "j1" of 2 items is submitted at "h0"
    And runner "r1" has had a request and an engine "e1" joins
    Then each host returns the same 2 complete results of "j1"

    Examples:
      | script       |
      | endless head |
      | endless body |
      | endless drip |

  Scenario Outline: The text of an item holds nothing that does not continue its stream
    Given an engine "r1" whose answers are "<take_up>"
    When the job "j1" of 1 items is submitted at "h0"
    And runner "r1" has had 2 requests and an engine "e1" joins
    Then each host returns the same 1 complete results of "j1"

    Examples:
      | take_up                           |
      | an error's text with status 200   |
      | an empty document with status 200 |
      | the stream from its start         |
      | the stream after a gap            |
      | the stream less one event         |
      | an event without an id            |
      | an error's head within an event   |
      | half an event                     |

  Scenario: An item whose new stream holds no event is run again
    Given an engine "r1" whose answers are "a new stream without events"
    When the job "j1" of 1 items is submitted at "h0"
    And runner "r1" has had 2 requests and an engine "e1" joins
    Then each host returns the same 1 complete results of "j1"

  Scenario: An item's earlier refusal is not believed when it is written once more
    Given an engine "r1" whose answers are "each refused once, once more on its connection"
    When the job "j1" of 1 items is submitted at "h0"
    Then each host returns the same 1 complete results of "j1"
    And runner "r1" has run 1 requests

  Scenario: A cancelled job starts no more items
    Given engines "e1"
    And every engine stalls after event 3
    When the job "j1" of 6 items is submitted at "h0"
    And the job "j1" is cancelled at "h1"
    Then no more items of the job start

  Scenario: An item that can never succeed is listed as failed
    Given engines "e1"
    And no item can succeed
    When the job "j1" of 2 items is submitted at "h0"
    Then the job "j1" has 2 failed results

  Scenario: The number of queued tokens is limited over all hosts
    Given engines "e1"
    And every engine stalls after event 3
    When the job "j1" of 2 items of 4000 tokens is submitted at "h0"
    And every host knows the job "j1"
    And the job "j2" of 2 items of 4000 tokens is submitted at "h1"
    Then it is refused with 429

  Scenario: Online requests preempt the slots of batch items
    Given engines "e1"
    When the job "j1" of 2 items is submitted at "h0"
    And items of the job are running
    And a caller requests "/ask/1" at "h1" as "q1"
    Then the caller gets events 1 to 10, complete
    And each host returns the same 2 complete results of "j1"

  Scenario: The body of an item can be read back
    Given engines "e1"
    When the job "j1" of 2 items is submitted at "h0"
    Then each host returns the body of item "j1-0" of "j1"
