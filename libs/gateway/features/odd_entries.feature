Feature: Odd entries among those that a host follows
  An odd entry of another writer costs that entry alone. The host follows the others,
  also after a restart, and serves.

  Scenario Outline: A host follows the other runners and becomes ready beside an odd entry
    Given a fleet of 2 hosts on the platform
    And plain runners "p1"
    When the entry of the runner "odd" is written as <text>
    And plain runner "p2" joins
    Then each host knows the runners "p1,p2" alone
    When the host "h0" starts again, and the host "h1" after it
    Then each host knows the runners "p1,p2" alone
    When a caller requests "/look/1" at "h0" as "q1"
    Then the caller gets status 200
    When a caller requests "/look/1" at "h1" as "q2"
    Then the caller gets status 200

    Examples:
      | text                                 |
      | a list nested 100000 deep            |
      | an entry with 5000 digits            |
      | an entry with the port 70000         |
      | an entry with the address "a..b"     |
      | bytes that are no UTF-8              |

  Scenario: A runner whose entry becomes odd is used no more, and again once it is sound
    Given a fleet of 1 hosts on the platform
    And plain runners "p1,p2"
    When the entry of the runner "p2" is written as a list nested 100000 deep
    Then each host knows the runners "p1" alone
    When the entry of the runner "p2" is sound again
    Then each host knows the runners "p1,p2" alone

  Scenario: Odd entries of the system's own kinds do not keep a host from its start
    Given a fleet of 1 hosts on the platform
    And plain runners "p1"
    When odd entries are written among those of all kinds
    And the host "h0" starts again
    Then each host knows the runners "p1" alone
    When a caller requests "/look/1" at "h0" as "q1"
    Then the caller gets status 200

  Scenario: A job with an odd item is refused and does not harm others
    Given a fleet of 1 hosts on the platform
    And engines "r1"
    When the job "j1" of 3 items is submitted at "h0"
    And a job with an odd item is submitted at "h0", one for each odd part
    Then each of these is refused with status 400
    And each host returns the same 3 complete results of "j1"

  Scenario Outline: Changes that a peer relays are told apart whatever they hold
    Given a relayed change of "r2", <text>, between sound ones of "r1" and "r3"
    Then the changes of "r1" and "r3" are decoded, and "r2" has no content

    Examples:
      | text                                 |
      | a list nested 100000 deep            |
      | an entry with 5000 digits            |
      | bytes that are no UTF-8              |
      | text that is no JSON                 |

  Scenario Outline: Relayed changes of an odd shape are left out
    Given a relayed change <text> between sound ones of "r1" and "r3"
    Then only the changes of "r1" and "r3" are decoded

    Examples:
      | text                           |
      | []                             |
      | null                           |
      | {}                             |
      | [7,4,{},null,false]            |
      | ["",4,{},null,false]           |
      | ["\ud800",4,{},null,false]     |
      | ["r2",true,{},null,false]      |
      | ["r2",-1,{},null,false]        |
      | ["r2",1e999,{},null,false]     |
      | ["r2",4,{},null,7]             |
      | ["r2",4,{},null]               |
      | ["r2",4,{},null,false,7]       |

  Scenario Outline: Relayed changes that can't be told apart are refused as malformed
    When relayed changes are <text>
    Then they are refused as malformed

    Examples:
      | text   |
      | null   |
      | {}     |
      | [      |
      | [[]    |
      | ]      |

  Scenario Outline: Any odd value in place of any part of a stored object costs it alone
    Given the <owner> that follows a kind of objects
    When each part of an object is replaced by each odd value, beside a sound one
    Then each time the sound one is known, from a list and from a watch

    Examples:
      | owner                |
      | runners              |
      | configuration        |
      | hosts                |
      | software versions    |
      | suspects             |
      | jobs                 |
