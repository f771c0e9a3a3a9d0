Feature: What owed items wait for is found in the log and in the dump
  An item that stays away from runners is named, with its state, place and age.

  Background:
    Given a host that owes the item "i1"

  Scenario: An item that asks again and again for a slot is logged
    When "i1" asks for a slot each 4 s for 21 s
    Then "i1" is logged 4 times
    And the dump tells that "i1" is "waiting for a slot" for 21 s, at no runner for 21 s

  Scenario: An item that is refused and delayed by turns is logged
    When "i1" is refused and delayed each 1 s for 21 s
    Then "i1" is logged 4 times

  Scenario: An item that reaches runners in time is not logged
    When "i1" is at a runner for 2 s in each 4 s for 20 s
    Then "i1" is logged 0 times

  Scenario: Many queued items do not hide the one that waits for a slot
    Given 300 items of the host are queued before "i2"
    When "i2" asks for a slot each 4 s for 6 s
    Then "i2" is logged 1 times

  Scenario: Each of many queued items is logged in the end
    Given 300 items of the host are queued before "i2"
    When no item changes for 20 s
    Then all 302 items are logged
