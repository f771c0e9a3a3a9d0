Feature: Links between hosts
  Many calls share a connection without delaying one another.

  Scenario: A slow reader is limited by flow control and delays no other call
    Given a peer that answers each call with 5000 replies
    When a call is made and 1 reply of it is read
    And another call on the same link is read to the end
    Then at most 100 replies of the slow call were sent
    When the rest of the slow call is read
    Then it has 5000 replies

  Scenario: An abandoned call is cancelled at the peer
    Given a peer that answers each call with 5000 replies
    When a call is made and 1 reply of it is read
    And the call is abandoned
    Then the peer has no call in progress

  Scenario: A message too large for a frame fails only its own call
    Given a peer that answers each call with 5000 replies
    When a call is made and 1 reply of it is read
    And a call of 5000000 bytes is made
    Then that call fails with outcome "not_run" and reason "too_large"
    When the rest of the slow call is read
    Then it has 5000 replies

  Scenario: An idle link sends nothing
    Given a peer that answers each call with 1 replies
    When a call is read to the end
    Then only the idle close timer is pending

  Scenario: A call whose replies show that the link works has one end that pings
    Given a peer that answers each call with 5000 replies
    When a call is begun that is kept alive by its replies
    Then the calling end sends no pings
    When the call is abandoned
    Then the peer has no call in progress

  Scenario: A link is not aborted since this process stood still
    Given a connection with keepalive whose peer answers
    When this process stands still for 1.5 s
    Then the connection is kept
    When the peer is silent for 0.9 s
    Then the connection is kept
    When the peer is silent for 0.5 s
    Then the connection is aborted

  Scenario: A link whose peer is silent is aborted
    Given a connection with keepalive whose peer answers
    When the peer is silent for 0.9 s
    Then the connection is kept
    When the peer is silent for 0.5 s
    Then the connection is aborted

  # Guards against calls in progress beyond the bound on their number
  Scenario: A call under the id of one in progress ends the connection
    Given a peer that answers each call with 1000 replies
    When calls of the ids 7, 8 and 7 are sent on one connection
    Then that connection is closed
    And the peer has no call in progress

  # Guards against a connection that keeps the event loop for all frames of a block
  Scenario: Other work goes on between the frames of a block
    Given a peer that answers each call with 1 replies
    When 3000 pings are sent on one connection at once
    Then at most 64 of them are answered in one turn of the event loop

  # Guards against answers that pile up for a peer that reads none
  Scenario: A peer that reads nothing is cut off
    Given a peer that has 100 KB for all that it holds
    When 60000 pings are sent on one connection, and no answer is read
    Then that connection is closed
