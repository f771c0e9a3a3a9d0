Feature: Rendezvous hashing
  A key stays on its name as long as that name exists.

  Scenario: Removing a name moves only the keys that were on it
    Given 1000 keys distributed over names "a,b,c,d"
    When the name "c" is removed
    Then only keys that were on "c" have moved

  Scenario: Keys are distributed in proportion to the weights
    Given 4000 keys distributed over names "light:1,heavy:3"
    Then "heavy" holds between 70 and 80 percent of the keys
