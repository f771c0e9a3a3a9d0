Feature: Slot allocation for a service's runners
  The home of a service counts requests in flight and revokes batch slots for online.

  Scenario: Online requests get free slots and the rest are refused with a retry delay
    Given a pool with runners "a:2"
    When online requests "r1,r2" ask for slots
    Then "r1,r2" are granted
    When online requests "r3" ask for slots that must start at once
    Then "r3" are refused with a retry delay

  Scenario: A waiting request gets a released slot
    Given a pool with runners "a:1"
    When online requests "r1,r2" ask for slots
    Then "r1" are granted
    When "r1" is released
    Then "r2" are granted

  Scenario: Batch requests leave a reserve and their slots are revoked for online
    Given a pool with runners "a:4,b:4"
    When batch requests "b1,b2,b3,b4,b5,b6,b7,b8" ask for slots
    Then 7 are granted
    When online requests "r1,r2" ask for slots
    Then "r1" are granted
    And 1 is revoked
    When the revoked slots are released
    Then "r2" are granted

  Scenario: A request that keeps its version has no slots of other versions revoked
    Given a pool with runners "a:2,b:2"
    And the runners have versions "a:v1,b:v2"
    When batch request "b1" holds a slot of "a"
    And batch request "b2" holds a slot of "a"
    And batch request "b3" holds a slot of "b"
    And batch request "b4" holds a slot of "b"
    And online requests "r1" ask for slots at version "v1"
    Then "b2" are revoked
    When the revoked slots are released
    Then "r1" are granted

  Scenario: Requests of one version and of any have slots revoked for each
    Given a pool with runners "a:1,b:2"
    And the runners have versions "a:v1,b:v2"
    When batch request "b1" holds a slot of "a"
    And batch request "b2" holds a slot of "b"
    And batch request "b3" holds a slot of "b"
    And online requests "r1" ask for slots at version "v1"
    Then "b1" are revoked
    When online requests "r2" ask for slots
    Then "b3" are revoked
    When the revoked slots are released
    Then "r2" are granted

  Scenario: Batch gets slots of other versions while a request waits for its own
    Given a pool with runners "a:1,b:4"
    And the runners have versions "a:v1,b:v2"
    When online requests "r1,r2" ask for slots at version "v1"
    And batch requests "b1" ask for slots at version "v1"
    And batch requests "b2" ask for slots
    Then "r1,b2" are granted
    When "r1" is released
    Then "r2" are granted

  Scenario: A batch request is refused at once when no runner has its version
    Given a pool with runners "a:1"
    And the runners have versions "a:v1"
    When batch requests "b1" ask for slots at version "v2"
    Then "b1" are refused with a retry delay

  Scenario: A repeated request may wait where a new one is refused
    Given a pool with runners "a:1"
    When online requests "r1" ask for slots
    And online requests "r2" ask for slots that must start at once
    Then "r1" are granted
    And "r2" are refused with a retry delay
    When repeated online requests "r3" ask for slots
    Then nothing is refused
    When "r1" is released
    Then "r3" are granted

  Scenario: Requests that can meet their latency goal go before late ones
    Given a pool with runners "a:1"
    When online requests "r1" ask for slots
    And repeated online requests "late" ask for slots
    And 1 s passes
    And repeated online requests "fresh" ask for slots
    And "r1" is released
    Then "r1,fresh" are granted

  Scenario: A new request that waits longer than predicted keeps its place
    Given a pool with runners "a:1"
    When online requests "r1,r2" ask for slots
    And 1 s passes
    And online requests "r3" ask for slots
    Then "r3" are refused with a retry delay
    When "r1" is released
    Then "r1,r2" are granted

  Scenario: Repeated requests neither precede nor block new ones
    Given a pool with runners "a:1"
    When online requests "r1" ask for slots
    And repeated online requests "r2,r3,r4" ask for slots
    And online requests "r5" ask for slots
    Then "r1" are granted
    And nothing is refused
    When "r1" is released
    Then "r5" are granted
    When "r5" is released
    Then "r2" are granted

  Scenario: A batch request that excludes the only runner still gets it
    Given a pool with runners "a:20"
    When batch request "b1" that excludes "a" asks for a slot
    Then "b1" are granted

  Scenario: A waiting request that excludes the only runner left is refused at once
    Given a pool with runners "a:1,b:1"
    When online requests "r1,r2" ask for slots
    And online request "r3" that excludes "b" asks for a slot
    And the runners become "b:1"
    Then "r3" are refused with a retry delay

  Scenario: Requests that wait are refused at once when all runners have left
    Given a pool with runners "a:1"
    When online requests "r1,r2" ask for slots
    And batch requests "b1" ask for slots
    And all runners leave
    Then "r2" are refused with a retry delay
    And "r1" are granted
    When the runners become "c:4"
    Then "b1" are granted

  Scenario: A request that waits too long is refused
    Given a pool with runners "a:1"
    When online requests "r1,r2" ask for slots
    And 3 s passes
    Then "r2" are refused with a retry delay

  Scenario: Slots granted by the previous home count at the new one
    Given a pool with runners "a:2"
    When batch request "b1" holds a slot of "a"
    And batch request "b2" holds a slot of "a"
    And online requests "r1" ask for slots
    Then nothing is granted
    And 1 is revoked

  Scenario: A new home withholds batch grants until slots in use are reported
    Given a pool with runners "a:4" of a new home
    When batch requests "b1" ask for slots
    Then nothing is granted
    When 1 s passes
    Then "b1" are granted

  Scenario: Requests that a runner reports beyond those known occupy slots
    Given a pool with runners "a:2"
    When runner "a" reports 2 requests
    And online requests "r1" ask for slots
    Then nothing is granted
    When runner "a" reports 1 requests
    Then "r1" are granted

  Scenario: A runner's last report does not occupy slots for ever
    Given a pool with runners "a:8"
    When runner "a" reports 8 requests
    And batch requests "b1" ask for slots
    Then nothing is granted
    When 2.5 s passes
    Then "b1" are granted

  Scenario: Recently released slots are not counted twice
    Given a pool with runners "a:2"
    When online requests "r1,r2" ask for slots
    And "r1" is released
    And runner "a" reports 2 requests
    And online requests "r3" ask for slots
    Then "r1,r2,r3" are granted

  Scenario: A failing runner is ejected while others are healthy
    Given a pool with runners "a:2,b:2,c:2"
    When runner "a" fails a request
    And online requests "r1,r2,r3" ask for slots
    Then none of them is sent to "a"

  Scenario: Prompts go to the runner that has their prefix cached
    Given a pool with runners "a:8,b:8"
    When prompts "r1" with parts "p,q" ask for slots
    And "r1" is released
    And prompts "r2" with parts "p,q" ask for slots
    Then "r1,r2" are granted on the same runner

  Scenario: Slots occupied by unknown requests lengthen the predicted wait
    Given a pool with runners "a:2,b:2"
    When runner "a" reports 2 requests
    And online requests "r1,r2" ask for slots
    And online requests "r3" ask for slots that must start at once
    Then "r1,r2" are granted
    And "r3" are refused with a retry delay

  Scenario: The hosts with the most processor power come first as homes
    Given hosts "h1,h2,h3,h4,h5,h6" with 0.5 cores and "h7,h8" with 2.1 cores
    Then "h7,h8" come first as homes of any service
    And with equal hosts the homes of services differ

  Scenario Outline: Random requests and releases find an injected fault of the pool
    Then 200 runs of the state machine with "<fault>" find a fault

    Examples:
      | fault                      |
      | a held slot is not counted |
      | batch goes before online   |

  Scenario: Random requests and releases find no fault of the pool
    Then 200 runs of the state machine with "none" find no fault

  Scenario: What waited in vain is not let wait again
    Given a pool with runners "a:1"
    When online requests "r0" ask for slots
    And repeated online requests "late1" ask for slots
    And new requests keep the slot of "a" busy for 2.5 s
    Then "late1" are refused with a retry delay
    When repeated online requests "late2" ask for slots
    Then "late2" are refused with a retry delay

  Scenario: A request that waits for a second slot in vain lets others wait
    Given a pool with runners "a:1"
    When online requests "r0" ask for slots
    And repeated online requests "r0~1" ask for slots
    And new requests keep the slot of "a" busy for 2.5 s
    Then "r0~1" are refused with a retry delay
    When repeated online requests "late2" ask for slots
    Then nothing is refused

  Scenario: Batch requests that ask again and again in vain take no further memory
    Given a pool with runners "a:2"
    When online requests "r1,r2" ask for slots
    And batch requests "b1,b2,b3" ask for slots and leave the queue 500 times
    Then the pool keeps at most 100 entries of batch requests
    When batch requests "b1,b2,b3" ask for slots
    And "r1" is released
    And "r2" is released
    Then "r1,r2,b1" are granted

  Scenario: A batch request gets the only slot of an idle service
    Given a pool with runners "a:1"
    When batch requests "b1" ask for slots
    Then "b1" are granted

  Scenario: A small runner is given batch requests while a large one fails
    Given a pool with runners "a:2,b:40"
    And runner "b" fails a request
    When batch requests "b1,b2,b3,b4" ask for slots
    Then 1 are granted

  Scenario: Runners whose rate limits leave few starts are given batch requests
    Given a pool with runners "a:40,b:40"
    When runner "a" named a limit of 4 a second 0 s ago
    And runner "b" named a limit of 4 a second 0 s ago
    And batch requests "b1,b2,b3,b4" ask for slots
    And 1 s passes
    Then 3 are granted

  Scenario: No batch slot of an ejected runner is revoked, as that would help nobody
    Given a pool with runners "a:2,b:2,c:2"
    When batch request "b1" holds a slot of "a"
    And batch request "b2" holds a slot of "a"
    And batch request "b3" holds a slot of "b"
    And batch request "b4" holds a slot of "b"
    And batch request "b5" holds a slot of "c"
    And batch request "b6" holds a slot of "c"
    And runner "c" fails a request
    And online requests "r1" ask for slots
    Then "b4" are revoked
    When the revoked slots are released
    Then "r1" are granted

  Scenario Outline: A slot held beside another one is no sample of how long requests take
    Given a pool with runners "a:4"
    When <class> "q1" ask for slots
    And 10 slots are asked for beside that of "q1" and given back at once, as <class>
    Then no time for which slots are held has changed
    And "q1" alone holds a slot

    Examples:
      | class           |
      | online requests |
      | batch requests  |
