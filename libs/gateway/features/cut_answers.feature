Feature: Answers of runners that break off
  A caller never gets an answer that broke off as a whole one, though its runner lives.

  Scenario Outline: A caller gets no whole answer from one that broke off
    Given a fleet of 1 hosts on the platform
    And a plain runner "p1" whose answers have <framing>
    When "/order/" is requested once for each place at which its answer breaks off
    Then the runner got each request, and no caller got a success

    Examples:
      | framing             |
      | a length            |
      | chunks and trailers |

  Scenario Outline: A caller sees that a stream broke off
    Given a fleet of 1 hosts on the platform
    And an engine "e1" whose answers have <framing>
    When "/ask/" is requested once for each place at which its answer breaks off
    Then the runner got each request, and no caller got a whole stream

    Examples:
      | framing             |
      | events in chunks    |

  Scenario: A stream without a length is whole for a caller only if it ends between events
    Given a fleet of 1 hosts on the platform
    And an engine "e1" whose answers have events without a length
    When "/ask/" is requested once for each place at which its answer breaks off
    Then the runner got each request, and whole streams ended after an event

  Scenario: An answer without a length of which nothing came is none
    Given a fleet of 1 hosts on the platform
    And a plain runner "p1" whose answers have a body without a length
    When "/order/" is requested once for each place at which its answer breaks off
    Then the runner got each request, and no caller got a success without a body
