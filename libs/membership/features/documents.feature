Feature: Replication of control-plane documents
  Only a higher revision replaces a document, whichever peer it comes from.

  Scenario: Only a higher revision is stored
    Given a host that holds revision 5 with text "five"
    When revision 4 with text "four" is put
    Then revision 5 with text "five" is held
    When revision 6 with text "six" is put
    Then revision 6 with text "six" is held

  Scenario: A newer revision is fetched from one holder, then from the next
    Given a host that holds revision 5 with text "five"
    When "a" announces revision 6
    Then "a" is asked for a revision above 5
    When "b" announces revision 6
    Then nothing is fetched
    When the fetch from "a" ends
    Then "b" is asked for a revision above 5

  Scenario: An older revision is not fetched
    Given a host that holds revision 5 with text "five"
    When "a" announces revision 4
    Then nothing is fetched

  Scenario: A host that has just started waits for several announcements
    Given a host that holds nothing
    When "a" announces revision 4 before the start-up wait ends
    And "b" announces revision 6 before the start-up wait ends
    Then nothing is fetched
    When the start-up wait ends
    Then "b" is asked for a revision above 0

  Scenario: A delta is small and reproduces the text
    Given a host that holds revision 5 with a text of 4000 lines
    And another host that holds the same
    When revision 6 with line 1234 changed is put
    Then the delta since revision 5 is at most 100 bytes
    And the other host holds the same text after applying it

  Scenario: Deltas between random texts reproduce the text
    Given 500 pairs of random texts with seed 1
    Then each delta reproduces its text
