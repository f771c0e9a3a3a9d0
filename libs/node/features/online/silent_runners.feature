Feature: Runners that are silent for a while
  A silence is no failure: a runner keeps its requests until another has taken them over.

  Scenario Outline: Every engine stands still in the middle of streams
    Given a running "small" fleet
    When <n> streams of 100 tokens run and, after 10, every engine stands still for <still_s> s
    Then every answer is complete
    And no engine ran a stream twice

    Examples:
      | n  | still_s |
      | 6  | 2.5     |

    @matrix
    Examples: other silences
      | n  | still_s |
      | 6  | 0.5     |
      | 6  | 1.5     |
      | 30 | 2.5     |

  # Guards against streams that give their slots to others, and are refused then
  Scenario: Every engine stands still while others wait for the slots of streams
    Given a running "small" fleet
    And streams with a deadline of 8.5 s
    When 30 streams of 100 tokens run and, after 10, every engine stands still for 2.5 s
    Then every answer that has begun is complete
    And no engine ran a stream twice

  Scenario Outline: Streams are asked for while every engine stands still
    Given a running "small" fleet
    When <n> streams of 40 tokens are asked for while every engine stands still for <still_s> s
    Then every answer is complete
    And no engine ran a stream twice

    Examples:
      | n  | still_s |
      | 6  | 2.5     |

    @matrix
    Examples: more streams than slots
      | n  | still_s |
      | 30 | 2.5     |

  Scenario Outline: One engine stands still in the middle of streams
    Given a running "small" fleet
    When 12 streams of 100 tokens run and, after 10, one engine stands still for <still_s> s
    Then every answer is complete

    Examples:
      | still_s |
      | 1.5     |
      | 2.5     |

  Scenario: An engine stands still in the middle of streams and never goes on
    Given a running "small" fleet
    When 12 streams of 100 tokens run and, after 10, one engine stands still for 60 s
    Then every answer is complete
    And no stream took longer than 7 s

  Scenario Outline: A plain runner stands still while calls are made
    Given a running "small" fleet
    And each call to "fleet-api-0" takes 0.5 s
    When "<path>" is called 6 times and, after 0.2 s, "fleet-api-0" stands still for 2.5 s
    Then every call returns "one"
    And "fleet-api-0" has run 6 calls

    Examples:
      | path          |
      | /battery/7    |
      | /pace-alert/7 |

  Scenario Outline: The home of the engines stands still in the middle of streams
    Given a running "small" fleet
    And streams with a deadline of 8.5 s
    When 20 streams of 100 tokens run through other hosts and, after 10, a home stands still for <still_s> s
    Then every answer that has begun is complete
    And no engine ran a stream twice

    Examples:
      | still_s |
      | 0.7     |
      | 1.5     |
