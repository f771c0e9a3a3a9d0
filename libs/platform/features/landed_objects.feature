Feature: Stored objects of the build that landed last
  During an upgrade hosts of two builds read and write the same objects. A job that one
  build has begun is taken over by the other, forth and back.

  Scenario Outline: Objects of the landed build, and of one with further fields, are read
    When a stored <object> of the landed build is decoded
    Then it has its recorded values
    When a stored <object> of a build with a further field is decoded
    Then it has its recorded values

    Examples:
      | object |
      | job    |
      | status |
      | items  |

  Scenario Outline: Objects of this build are those that the landed build reads
    Then a stored <object> is written with all the landed fields

    Examples:
      | object  |
      | job     |
      | status  |
      | items   |
      | results |
