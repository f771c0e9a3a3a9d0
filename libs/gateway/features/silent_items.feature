Feature: Items whose runners are silent
  A silent runner keeps an item and its slot until another one is ready for the item.

  Background:
    Given a fleet of 1 hosts on the platform

  Scenario Outline: Items whose runners are all silent for a while stay at them
    Given engines "e1,e2" that can stand still
    When the job "j1" of 3 items is submitted at "h0"
    And all engines stand still for <silence_s> s while 3 items of the job run
    Then each host returns the same 3 complete results of "j1"
    And no item ran twice
    And no slot is held

    Examples:
      | silence_s |
      | 0.5       |
      | 2.5       |
      | 3.5       |
      | 5.0       |

  Scenario: Items of an engine that stands still for good go on at another one
    Given engines "e1,e2" that can stand still
    When the job "j1" of 3 items is submitted at "h0"
    And engine "e1" stands still for good while 3 items of the job run
    Then the job "j1" has 3 results within 4.5 s
    And no slot is held

  Scenario Outline: Items whose streams end nowhere are sent again, though their engine lives
    Given engines "e1" that can stand still
    When the job "j1" of 1 items is submitted at "h0"
    And the connections of engine "e1" <fault> while 1 items of the job run
    Then the job "j1" has 1 results within <limit_s> s
    And no slot is held

    Examples:
      | fault                                   | limit_s |
      | are dead without an end, new ones go on | 4.5     |
      | are dead for its items only             | 4.5     |

  Scenario: A job that is cancelled while its items ask for other runners leaves no slot held
    Given engines "e1,e2" that can stand still
    When the job "j1" of 3 items is submitted at "h0"
    And all engines stand still for good while 3 items of the job run
    And 4 slots are held or asked for
    And the job "j1" is cancelled at "h0"
    Then no slot is held

  Scenario: An item whose engines stand still one after another goes on at a third
    Given engines "e1,e2,e3" that can stand still
    When the job "j1" of 1 items is submitted at "h0"
    And the engine that runs the item stands still for good
    And the engine that runs the item stands still for good
    Then each host returns the same 1 complete results of "j1"
    And no slot is held
