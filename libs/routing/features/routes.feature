Feature: Request routing
  The host and the longest prefix of the path select the route.

  Scenario: The longest matching prefix of the host wins
    Given routes
      | name  | host | prefix  | services |
      | short | a    | /x/     | s:1      |
      | long  | a    | /x/y/   | s:1      |
      | other | b    | /x/y/   | s:1      |
    Then "/x/1" at "a" takes route "short"
    And "/x/y/1" at "a" takes route "long"
    And "/x/y" at "a" takes route "short"
    And "/z/1" at "a" takes route "none"
    And "/x/y/1" at "c" takes route "none"

  Scenario: A split route distributes requests by weight
    Given routes
      | name  | host | prefix | services |
      | split | a    | /      | s:90,t:10 |
    Then of 1000 requests of route "split" about 0.9 go to "s"
    And of 1000 requests of route "split" about 0.1 go to "t"
