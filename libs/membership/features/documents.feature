Feature: Documents of the control plane
  A document is replaced only by one of a higher revision, from whoever has it.

  Scenario: Only a higher revision is taken
    Given a host that holds revision 5 with text "five"
    When revision 4 with text "four" is put
    Then revision 5 with text "five" is held
    When revision 6 with text "six" is put
    Then revision 6 with text "six" is held

  Scenario: A newer revision is fetched from a host that has it, then from another
    Given a host that holds revision 5 with text "five"
    When "a" tells that it holds revision 6
    Then "a" is asked for what is newer than 5
    When "b" tells that it holds revision 6
    Then nobody is asked
    When the fetch from "a" ends
    Then "b" is asked for what is newer than 5

  Scenario: A host that holds an old revision is not asked
    Given a host that holds revision 5 with text "five"
    When "a" tells that it holds revision 4
    Then nobody is asked

  Scenario: A host that has just started hears several hosts first
    Given a host that holds nothing
    When "a" tells that it holds revision 4 before it has settled
    And "b" tells that it holds revision 6 before it has settled
    Then nobody is asked
    When it has settled
    Then "b" is asked for what is newer than 0

  Scenario: A change is small and makes the same text
    Given a host that holds revision 5 with a text of 4000 lines
    And another host that holds the same
    When revision 6 with line 1234 changed is put
    Then the change since revision 5 is at most 100 bytes
    And the other host has the same text after taking it

  Scenario: Random changes make the same text
    Given 500 pairs of random texts with seed 1
    Then each change makes its text
