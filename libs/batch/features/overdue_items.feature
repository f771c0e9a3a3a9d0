Feature: An item that is owed is overdue by its time at no runner, whatever its states
  An item may be at no runner for 3 s while runners that may take it have room.

  Scenario Outline: Time at no runner
    Given an item that is owed from 0 s on
    When it is at a runner <runs>
    Then at <now_s> s it is <verdict>

    Examples:
      | runs                           | now_s | verdict     |
      | never                          | 2.9   | not overdue |
      | never                          | 3.0   | overdue     |
      | from 0.5 to 0.7, from 2 to 2.2 | 3.0   | overdue     |
      | from 1 to 2.5                  | 5.4   | not overdue |
      | from 1 to 2.5                  | 5.5   | overdue     |
      | from 1 on                      | 60    | not overdue |

  Scenario: A runner that failed the item had it, however briefly
    Given an item that is owed from 0 s on
    When it is at a runner from 2 to 2.2
    And the runner has worked on it at 2.2 s
    Then at 5.1 s it is not overdue
    And at 5.2 s it is overdue

  Scenario Outline: Room at runners by their own reports
    Given the reports "<reports>"
    Then the runners "<with_room>" have room

    Examples:
      | reports         | with_room |
      | a 3/8, b 4/8    | a         |
      | a 24/8, b 8/8   |           |
      | a 0/1           | a         |
