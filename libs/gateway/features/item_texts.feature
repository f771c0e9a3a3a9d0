Feature: The texts of all items together are bounded
  A faulty runner may send events of an item without end. Texts that are not whole yet
  are kept in sum up to a budget; beyond it the item with the largest begins afresh.

  Scenario Outline: An item that grows without end takes no room from the others
    Given 40 items with texts of 2000 bytes each, and a budget of 200000 bytes
    When one of them gets events <size> characters long without end
    Then its attempt is given up, and its next attempt begins afresh
    And at most 200000 bytes are kept, and the other items have their texts

    Examples:
      | size  |
      | 0     |
      | 1     |
      | 10000 |

  Scenario: Many items that grow without end keep no more than the budget
    Given 40 items with texts of 2000 bytes each, and a budget of 200000 bytes
    When all of them get events of 100 characters in turn, 200 times
    Then at most 200000 bytes are kept

  Scenario: An item is not given up as its first bytes after a silence are part of an event
    Given 1 items with texts of 2000 bytes each, and a budget of 200000 bytes
    When its runner is silent for 3.5 s, answers a probe, and sends an event in two parts
    Then its attempt has not failed

  Scenario: An item whose text was dropped does not end as whole
    Given 40 items with texts of 2000 bytes each, and a budget of 200000 bytes
    When the stream of one of them ends, just after its text was dropped
    Then the item is not whole
