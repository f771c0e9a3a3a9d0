Feature: Software versions of streams
  A stream and an item hold events of one software version only.

  Background:
    Given a fleet of 3 hosts on the platform

  Scenario: A broken stream does not go on at another software version
    Given engines "e1" of version "v1" with 60 events
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And engines "a1" of version "v2" join
    And the stream's runner breaks it
    Then the caller gets events of version "v1" alone, incomplete

  Scenario: A broken stream goes on at another runner of its version beside a newer one
    Given engines "e1,e2" of version "v1" with 60 events
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And engines "a1" of version "v2" join
    And the stream's runner breaks it
    Then the caller gets events of version "v1" alone, complete

  Scenario: A stream of a runner that states no version goes on nowhere
    Given engines "e1,e2" of version "" with 60 events
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And the stream's runner breaks it
    Then the caller gets events of no version, incomplete

  Scenario: A software version gets its first stream only once the store names it
    Given engines "e1" of version "v1" with 5 events
    And the store names "v1" first
    And the store accepts no writes for 1 s while streams are requested
    When engines "a1" of version "v2" join at once
    And streams are requested until both versions have had one
    Then the store named version "v2" before its first stream

  Scenario: A software version whose runners have left is dropped from the store
    Given a timeout of 0.5 s on all routes
    And engines "e1" of version "v1" with 5 events
    And engines "e2" of version "v2" with 5 events
    When runner "e1" leaves
    Then the store names "v2" alone within 15 s

  Scenario: A stream taken up at another host goes on at its version beside a newer one
    Given engines "e1,e2" of version "v1" with 60 events
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And engines "a1" of version "v2" join
    And host "h0" is killed
    And the caller takes the stream up at "h1" as "q2"
    Then both answers hold events of version "v1" alone, complete

  Scenario: A stream is taken up twice, each time at a host that did not serve it
    Given engines "e1,e2" of version "v1" with 60 events
    And engines "a1" of version "v2" with 60 events
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And host "h0" is killed
    And the caller takes the stream up at "h1" as "q2" until host "h1" is killed
    And the caller takes the stream up at "h2" as "q3"
    Then all answers hold events of one version, complete

  Scenario: No stream of a mixed fleet goes on once every host has forgotten its version
    Given engines "e1,e2" of version "v1" with 60 events
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And engines "a1" of version "v2" join
    And all hosts are killed and come back
    And the caller takes the stream up at "h1" as "q2"
    Then the take-up is refused as not run and reached no runner

  Scenario: Streams of two versions go on though all hosts were killed at once
    Given engines "e1,e2" of version "v1" with 60 events
    And engines "a1,a2" of version "v2" with 60 events
    And the engines state their starts
    When 4 callers begin streams at "h0", and all hosts die and come back
    And the callers take their streams up at once elsewhere beside 4 new ones
    Then at least half as many taken up streams as new ones are complete, of one version

  Scenario: A stream of the only version goes on though every host has forgotten it
    Given a timeout of 2 s on all routes
    And engines "e1,e2" of version "v1" with 60 events
    And the store names "v1" alone within 15 s
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And all hosts are killed and come back
    And the caller takes the stream up at "h1" as "q2"
    Then both answers hold events of version "v1" alone, complete

  Scenario: A stream begun at the version that left does not go on at the only one listed
    Given engines "e1" of version "v1" with 60 events
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And engines "a1" of version "v2" join
    And runner "e1" leaves
    And all hosts are killed and come back
    And the caller takes the stream up at "h1" as "q2"
    Then the take-up is refused as not run and reached no runner

  Scenario: A stream of a split route is taken up at the service that began it
    Given engines "e1" of version "v1" with 60 events
    And the operator splits "/alert/" over the engines and plain runners
    And plain runners "p1" of version "v1" with 60 events
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And the caller takes the stream up at "h1" with an id of the other service
    Then the service that began the stream received the take-up

  Scenario: An item whose runner broke it off does not go on at another version
    Given engines "e1" of version "v1" with 60 events
    When the job "j1" of 1 items is submitted at "h0"
    And an item has events
    And engines "a1" of version "v2" join
    And the stream's runner breaks it
    Then the job "j1" has 1 results, each of one version and complete

  Scenario: An item whose version has runners without room begins afresh in the end
    Given engines "e1" of version "v1" with 60 events
    When the job "j1" of 1 items is submitted at "h0"
    And an item has events
    And engines "a1" of version "v2" join
    And the stream's runner breaks it and has no room from then on
    Then the job "j1" has 1 results, each of version "v2" and complete

  Scenario: Items whose slots are revoked do not go on at another version
    Given engines "e1" of version "v1" with 60 events
    When the job "j1" of 2 items is submitted at "h0"
    And an item has events
    And engines "a1" of version "v2" join
    And 4 callers request "/alert/2" at all hosts while items run
    Then the job "j1" has 2 results, each of one version and complete
    And an item has run twice

  Scenario: An item whose runner comes back at another version begins afresh
    Given engines "e1" of version "v1" with 60 events
    When the job "j1" of 1 items is submitted at "h0"
    And an item has events
    And runner "e1" ends, is back at version "v2" and is listed so 0.5 s later
    Then the job "j1" has 1 results, each of version "v2" and complete

  Scenario: An item whose version has no runner left begins afresh
    Given engines "e1" of version "v1" with 60 events
    When the job "j1" of 1 items is submitted at "h0"
    And an item has events
    And engines "a1" of version "v2" join
    And runner "e1" leaves
    And the stream's runner breaks it
    Then the job "j1" has 1 results, each of version "v2" and complete

  Scenario: An item of a runner that states no version begins afresh
    Given engines "e1,e2" of version "" with 60 events
    When the job "j1" of 1 items is submitted at "h0"
    And an item has events
    And the stream's runner breaks it
    Then the job "j1" has 1 results, each of one version and complete
    And no item was asked to go on

  Scenario: A stream does not go on at a runner that is back at another version unlisted
    Given engines "e1,e2" of version "v1" with 60 events
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And the other engine is back at version "v2" while its entry is late
    And the stream's runner breaks it and has no room from then on
    Then the caller gets events of version "v1" alone, incomplete

  Scenario: A take-up does not reach a runner that is back at another version unlisted
    Given engines "e1" of version "v1" with 60 events
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And the stream's runner is back at version "v2" while its entry is late
    And the caller takes the stream up at "h0" as "q2"
    Then the take-up is refused as not run and reached no runner

  Scenario: An item does not go on at a runner that is back at another version unlisted
    Given engines "e1,e2" of version "v1" with 60 events
    When the job "j1" of 1 items is submitted at "h0"
    And an item has events
    And the other engine is back at version "v2" while its entry is late
    And the stream's runner breaks it and has no room from then on
    And 1 s passes and the late entries come
    Then the job "j1" has 1 results, each of version "v2" and complete

  Scenario: A take-up that the silent store would have to decide is refused at once
    Given a timeout of 2 s on all routes
    And engines "e1,e2" of version "v1" with 60 events
    And the store names "v1" alone within 15 s
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And host "h0" is killed
    And the store is silent
    And the caller takes the stream up at "h1" as "q2"
    Then the take-up is refused as not run and reached no runner
    And it was refused within half a latency goal

  Scenario: A take-up that silent hosts would have to decide is refused at once
    Given engines "e1,e2" of version "v1" with 60 events
    And engines "a1" of version "v2" with 60 events
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And host "h0" is killed
    And host "h1" knows nothing of the stream, and no host answers its asks
    And the caller takes the stream up at "h1" as "q2"
    Then the take-up is refused as not run and reached no runner
    And it was refused within half a latency goal

  Scenario: A take-up that the store can't decide in time goes on by what a peer knows
    Given a timeout of 2 s on all routes
    And engines "e1" of version "v1" with 60 events
    And the store names "v1" alone within 15 s
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And the stream's runner breaks it
    And the store is silent
    And the caller takes the stream up at "h1" as "q2"
    Then both answers hold events of version "v1" alone, complete

  Scenario: A take-up that does not name its stream goes on while one version serves
    Given a timeout of 2 s on all routes
    And engines "e1,e2" of version "v1" with 60 events
    And the store names "v1" alone within 15 s
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And host "h0" is killed
    And the caller takes the stream up at "h1" as "q2" without naming it
    Then both answers hold events of version "v1" alone, complete

  Scenario: A take-up that does not name its stream is refused while several versions serve
    Given engines "e1,e2" of version "v1" with 60 events
    And engines "a1" of version "v2" with 60 events
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And host "h0" is killed
    And the caller takes the stream up at "h1" as "q2" without naming it
    Then the take-up is refused as not run and reached no runner
    And it was refused within half a latency goal

  Scenario: Many streams are taken up at once and go on, as often as new ones begin
    Given engines "e1,e2" of version "v1" with 60 events
    And engines "a1,a2" of version "v2" with 60 events
    When 8 callers begin streams at "h0", which is killed
    And the callers take their streams up at once elsewhere beside 8 new ones
    Then at least half as many taken up streams as new ones are complete, of one version

  Scenario: An item whose only runner stays listed as its former process begins afresh
    Given engines "e1" of version "v1" with 60 events
    When the job "j1" of 1 items is submitted at "h0"
    And an item has events
    And the stream's runner is back at version "v1" while its entry is late
    Then the job "j1" has 1 results, each of version "v1" and complete

  Scenario: A stream goes on at its version though its runner is back at another one
    Given engines "e1,e2" of version "v1" with 60 events
    And the engines state their starts
    And runner "e2" has no room
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And the stream's runner is back at version "v2" while its entry is late
    And 0.5 s passes and the late entries come
    And runner "e2" has room again
    And the caller takes the stream up at "h0" as "q2"
    Then both answers hold events of version "v1" alone, complete
