Feature: Parsers of event streams
  They hold one incomplete event at most, and no more of it than its largest size.

  Scenario Outline: An event without end is given up
    Given a parser of <kind> events
    When it gets events and then 40 chunks of 65536 bytes without an end of event
    Then it gives up, and has held at most 1179648 bytes

    Examples:
      | kind   |
      | parsed |
      | raw    |
