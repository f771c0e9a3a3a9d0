Feature: Rendezvous hashing
  A key keeps its place while the place is there.

  Scenario: Losing one name moves only the keys it held
    Given 1000 keys placed on names "a,b,c,d"
    When the name "c" goes
    Then only keys that were on "c" have moved

  Scenario: A name takes keys by its weight
    Given 4000 keys placed on names "light:1,heavy:3"
    Then "heavy" holds between 70 and 80 in 100 keys
