Feature: Slots and asks for slots follow the home of their service
  The client of slots holds each slot at one home alone, whatever moves meanwhile.

  Background:
    Given a client of slots and the homes "a,b,c"

  Scenario: A move that a later move overtakes leaves no slot behind
    Given a slot held at "a"
    When "b" answers late and is the home
    And "c" is the home
    And "b" answers
    And the slot is closed
    Then no home has a call open

  Scenario: An ask that waits moves with the home
    When "a" queues asks and is the home
    And a slot is asked for
    And "b" is the home
    Then the slot is held at "b" alone

  Scenario: An ask that is queued only after the home has moved follows it at once
    When "a" queues asks late and is the home
    And a slot is asked for
    And "b" is the home
    And "a" answers
    Then the slot is held at "b" alone within 1 s

  Scenario: An ask of a batch item at a home that is slow to answer gets its slot
    When "a" answers each ask after 0.4 s and is the home
    And a slot is asked for
    Then the slot is held at "a" alone

  Scenario: Items that asked together do not go on asking at the same times
    Then of 3 asks made together at a home without a free slot, none is repeated within 0.01 s of another in 40 s

  Scenario: Random moves, losses and freezes of homes leave no slot or ask behind
    Then 150 random runs end with each open slot held at the home alone
