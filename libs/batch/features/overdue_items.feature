Feature: An item that is owed is overdue by its time at no runner, whatever its states
  An item may be at no runner for 2 s and while runners that may take it have no room, and
  for about 1 s more, so that it can be given the room that has just come.

  Scenario Outline: Time at no runner
    Given an item that is owed from 0 s on
    When it is at a runner <runs>
    Then at <now_s> s it is <verdict>

    Examples:
      | runs                           | now_s | verdict     |
      | never                          | 1.9   | not overdue |
      | never                          | 2.0   | overdue     |
      | from 0.5 to 0.7, from 1 to 1.2 | 2.0   | overdue     |
      | from 1 to 2.5                  | 4.4   | not overdue |
      | from 1 to 2.5                  | 4.5   | overdue     |
      | from 1 on                      | 60    | not overdue |

  Scenario: A runner that failed the item had it, however briefly
    Given an item that is owed from 0 s on
    When it is at a runner from 2 to 2.2
    And the runner has worked on it at 2.2 s
    Then at 4.1 s it is not overdue
    And at 4.2 s it is overdue

  Scenario Outline: Room at runners by their own reports
    Given the reports "<reports>"
    Then the runners "<with_room>" have room

    Examples:
      | reports         | with_room |
      | a 3/8, b 4/8    | a         |
      | a 24/8, b 8/8   |           |
      | a 0/1           | a         |

  Scenario Outline: Room that lasts
    When runners are looked at <looks>
    Then room has lasted at the last look: <verdict>

    Examples:
      | looks                               | verdict |
      | room at 5.0                         | no      |
      | room at 5.0, room at 6.0            | yes     |
      | room at 5.0, none at 6.0, room at 7 | no      |
      | room at 5.0, room at 9.0            | no      |
