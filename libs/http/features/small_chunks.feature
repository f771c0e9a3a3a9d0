Feature: Bodies in small chunks
  A block of received bytes can hold thousands of chunks, each of which costs a parser
  as much as a whole request. No clock is read here.

  # Guards against a client that keeps the event loop for as long as its block lasts
  Scenario Outline: Other work goes on between the chunks of a block
    Given a server that counts the parts of a body and the turns of the event loop
    When a client sends <count> chunks of <size> bytes at once
    Then the body has <length> bytes
    And the event loop had a turn for each <at_most> chunks at least

    Examples:
      | count | size | length | at_most |
      | 4000  | 1    | 4000   | 64      |
      | 4000  | 7    | 28000  | 64      |
