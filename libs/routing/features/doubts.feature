Feature: Runners in doubt
  A runner that fails a part of its requests answers the others, which ends its ejection.
  A request that has one attempt goes to another runner as long as one has room.

  Scenario: A request with one attempt goes to a runner without a failure
    Given a pool with runners "a:4,b:4"
    When runner "a" fails a request and answers another one
    And requests "r1,r2" with one attempt each ask for slots
    Then "r1,r2" are granted at "b,b"

  Scenario: A request that may be tried again is a probe for a runner in doubt
    Given a pool with runners "a:4,b:4"
    When runner "a" fails a request and answers another one
    And online requests "r1,r2" ask for slots
    Then "r1,r2" are granted at "a,b"

  Scenario: A runner in doubt is used when no other one has room
    Given a pool with runners "a:4,b:1"
    When runner "a" fails a request and answers another one
    And requests "r1,r2" with one attempt each ask for slots
    Then "r1,r2" are granted at "b,a"

  Scenario: A doubt wanes
    Given a pool with runners "a:4,b:4"
    When runner "a" fails a request and answers another one
    And 6 s pass in the pool
    And requests "r1" with one attempt each ask for slots
    Then "r1" are granted at "a"

  # The load: 3 of 10 runners hang with half of their requests for 8 s
  Scenario: Few requests with one attempt are lost at runners that fail half of theirs
    When 80 requests a second, of which 0.7 have one attempt, meet 3 of 10 such runners
    Then at most half as many are lost as when all might be tried again
