Feature: Odd and broken answers of runners
  An answer that breaks off or is odd fails with a typed error; it is never whole.

  Scenario Outline: An answer that breaks off at any byte is not whole
    Given a <runner> whose answers have <framing>
    When its answer breaks off after each number of bytes
    Then each request failed with a typed error

    Examples:
      | runner | framing   |
      | engine | a length  |
      | engine | chunks    |
      | engine | no length |
      | plain  | a length  |
      | plain  | chunks    |

  Scenario Outline: An odd event of an engine is refused
    Given an engine that sends an event <event>
    When its answer is read
    Then each request failed with a typed error

    Examples:
      | event                     |
      | nested 100000 deep        |
      | with 5000 digits          |
      | with 1e999                |
      | with NaN                  |
      | with a large position     |
      | with a boolean            |
      | with a lone surrogate     |
      | that is no UTF-8          |
      | that is a list            |
      | that is empty             |

  Scenario: An odd report of an engine is none
    When an engine reports each odd value as its running streams
    Then each report failed with a typed error
