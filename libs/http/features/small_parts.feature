Feature: Heads and bodies in small parts
  A block of received bytes can hold thousands of chunks or headers, each of which costs
  a parser as much as a whole small request. No clock is read here.

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

  # Guards against clients that keep the event loop with heads of many small headers
  Scenario Outline: Other work goes on between the heads of many clients
    Given a server that counts the parts of a body and the turns of the event loop
    When 20 clients send <count> heads of 8000 bytes at once
    Then at most <at_most> heads are handled in one turn of the event loop

    Examples:
      | count | at_most |
      | 1     | 1       |
      | 4     | 1       |
