Feature: Decoding of the platform's formats
  Invalid input is reported with its location and has no other effect.

  Scenario: Settings of a process are decoded
    Given the settings of an entry host
    Then the host is "edge-a-1" in "zone-a" of "land"
    And the caller address is "10.1.0.5:8144"
    And the peer port is 7660
    And the stop grace period is 8 s

  Scenario: The bounds on leaving runners and on clocks are decoded
    Given the settings of an entry host
    When the key "Bounds.DrainMs" is "2500"
    And the key "Bounds.SkewMaxMs" is "4000"
    Then leaving runners serve for 2.5 s and clocks differ by at most 4 s
    When the key "Bounds.DrainMs" is missing
    And the key "Bounds.SkewMaxMs" is missing
    Then leaving runners serve for 2 s and clocks differ by at most 5 s

  Scenario: The bounds on the limits of workspaces are decoded
    Given the settings of an entry host
    When the key "Bounds.QuotaWindowS" is "4"
    And the key "Bounds.QuotaSlack" is "7"
    Then limits may be exceeded by 0.1 and 7 requests in 4 s
    When the key "Bounds.QuotaOver" is "0.25"
    And the key "Bounds.QuotaWindowS" is missing
    And the key "Bounds.QuotaSlack" is missing
    Then limits may be exceeded by 0.25 and 20 requests in 5 s

  Scenario Outline: A runner says in its answers that it leaves
    Given a runner's answer with the header "<name>" as "<value>"
    Then the runner leaves: <is_leaving>

    Examples:
      | name           | value | is_leaving |
      | Server-Leaving | 1     | True       |
      | Server-Leaving | 0     | False      |
      | Server-Leaving |       | False      |
      | Server-Limit   | 1     | False      |

  Scenario: All findings of invalid settings are reported at once
    Given the settings of an entry host
    When the key "NodeName" is missing
    And the key "Bounds.GraceS" is "soon"
    Then there are findings for the keys "NodeName,Bounds.GraceS"

  Scenario: A host that serves no callers has no caller address
    Given the settings of an entry host
    When the key "Listen.Front" is missing
    Then there is no caller address

  Scenario: Routes and services of a configuration are decoded
    Given a configuration of version 7
    Then route "alert" of "x.example" is a stream that may be resumed in 2 attempts
    And route "split" sends the fraction 0.9 of its requests to "s1"
    And service "s1" has engines of 8 slots

  Scenario: An invalid configuration is reported
    Given a configuration without its version
    Then decoding fails

  Scenario Outline: An invalid runner entry is rejected
    Given a runner's entry with "<key>" as <value>
    Then decoding fails

    Examples:
      | key     | value      |
      | Service | 7          |
      | Addr    | "nowhere"  |
      | Addr    | null       |
      | State   | "resting"  |
      | Zone    | ["z"]      |
      | Slots   | "many"     |
      | Slots   | 0          |
      | Slots   | true       |

  Scenario: A runner's entry is decoded
    Given a runner's entry with "Slots" as 6
    Then it is a live runner of "s1" with 6 slots

  Scenario Outline: The software version and the start of a runner are read from its entry
    Given a runner's entry with "<key>" as <value>
    Then its software version is "<version>" and its start is at <born_ms> ms

    Examples:
      | key     | value         | version | born_ms       |
      | Version | "v1.1"        | v1.1    | 0             |
      | Version | 7             | 7       | 0             |
      | Version | null          |         | 0             |
      | Version | ["v1"]        |         | 0             |
      | born    | 1796400000123 |         | 1796400000123 |
      | born    | "soon"        |         | 0             |
      | born    | true          |         | 0             |

  Scenario: A caller that takes up a stream names the request that brought its first event
    Given a caller's request with headers
      | name          | value |
      | X-Request-Id  | q2    |
      | Last-Event-Id | 4     |
      | Resumes       | q1    |
    Then it takes up stream "q1" after event 4

  Scenario: A request is forwarded to a runner with the headers for that runner
    Given a caller's request with headers
      | name              | value             |
      | Host              | X.example:80      |
      | X-Request-Id      | q1                |
      | X-Deadline-Ms     | 1500              |
      | X-Prompt-Prefix   | a1:100,b2:50,c3:9 |
      | X-Token-Usage     | 159,40            |
      | X-Expect-Instance | forged            |
      | Connection        | keep-alive, X-Own |
      | Keep-Alive        | timeout=5         |
    Then its shared prompt parts are "a1,b2"
    And its deadline is 1.5 s
    When it is forwarded to runner "r1" with 1.2 s remaining, to resume after event 4
    Then the forwarded headers are
      | name              | value             |
      | Host              | x.example         |
      | x-request-id      | q1                |
      | x-prompt-prefix   | a1:100,b2:50,c3:9 |
      | x-token-usage     | 159,40            |
      | x-expect-instance | r1                |
      | x-deadline-ms     | 1200              |
      | last-event-id     | 4                 |

  Scenario: A malformed job is reported
    Given a job as "{}"
    Then decoding fails

  # Guards against bounds on the values of a job that refuse a large one
  Scenario: A job of many items with many headers is decoded
    Given a job of 200 items, each with 60 headers
    Then it has 200 items

  Scenario: A job and its results survive a round trip through storage
    Given a job of 3 items
    Then its record and items are equal after a round trip
    And results are equal after a round trip

  Scenario: A page of results is bounded in size and holds at least one
    Given results of 500000, 500000 and 10 characters
    Then a page from 0 returns 1 result and continues at 1
    And a page from 1 returns 2 results and continues at 3
