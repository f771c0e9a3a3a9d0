Feature: The platform's formats become the product's types
  What can't be read is told with its place and changes nothing else.

  Scenario: Settings of a process
    Given the settings of an entry machine
    Then the host is "edge-a-1" in "zone-a" of "land"
    And callers are served at "10.1.0.5:8144"
    And hosts talk on port 7660
    And the grace time is 8 s

  Scenario: All findings of unreadable settings are told at once
    Given the settings of an entry machine
    When the key "NodeName" is missing
    And the key "Bounds.GraceS" is "soon"
    Then the findings name "NodeName,Bounds.GraceS"

  Scenario: A machine that serves nobody has no addresses
    Given the settings of an entry machine
    When the key "Listen.Front" is missing
    Then callers are not served

  Scenario: Routes and services of a configuration
    Given a configuration of version 7
    Then route "alert" of "x.example" is a stream that may be resumed in 2 attempts
    And route "split" sends 0.9 to "s1"
    And service "s1" has engines of 8 slots

  Scenario: A document that is no configuration is told
    Given a configuration without its version
    Then it is not readable

  Scenario Outline: Entries that can't be read name no runner
    Given a runner's entry with "<key>" as <value>
    Then it is not readable

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

  Scenario: A runner's entry
    Given a runner's entry with "Slots" as 6
    Then it is a live runner of "s1" with 6 slots

  Scenario: A request as it goes to a runner
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
    Then its shared parts are "a1,b2"
    And its caller waits 1.5 s
    When it goes to runner "r1" with 1.2 s left behind event 4
    Then the headers to the runner are
      | name              | value             |
      | Host              | x.example         |
      | x-request-id      | q1                |
      | x-prompt-prefix   | a1:100,b2:50,c3:9 |
      | x-token-usage     | 159,40            |
      | x-expect-instance | r1                |
      | x-deadline-ms     | 1200              |
      | last-event-id     | 4                 |

  Scenario: A job that can't be read is told
    Given a job as "{}"
    Then it is not readable

  Scenario: A job and its results survive being kept
    Given a job of 3 items
    Then its record and items read back the same
    And results read back the same

  Scenario: A page of results is bounded and has one at least
    Given results of 500000, 500000 and 10 characters
    Then a read from 0 returns 1 result and goes on at 1
    And a read from 1 returns 2 results and goes on at 3
