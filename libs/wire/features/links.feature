Feature: Links between hosts
  Many calls share a connection without holding up one another.

  Scenario: A slow reader is bounded and delays no other call
    Given a peer that answers each call with 5000 replies
    When a call is made and 1 reply of it is read
    And another call on the same link is read whole
    Then the slow call was sent at most 100 replies
    When the slow call is read on
    Then it has 5000 replies

  Scenario: A call that is given up is cancelled at the peer
    Given a peer that answers each call with 5000 replies
    When a call is made and 1 reply of it is read
    And the call is given up
    Then the peer has no call in progress

  Scenario: A message too large for a frame ends only its own call
    Given a peer that answers each call with 5000 replies
    When a call is made and 1 reply of it is read
    And a call of 5000000 bytes is made
    Then that call is told "not_run" for "too_large"
    When the slow call is read on
    Then it has 5000 replies

  Scenario: An idle link sends nothing
    Given a peer that answers each call with 1 replies
    When a call is read whole
    Then no timer but the one of the idle close is pending
