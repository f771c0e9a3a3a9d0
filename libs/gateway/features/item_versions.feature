Feature: Software versions of batch items
  The text of an item is of one software version, and an item ends while a runner serves.

  Scenario Outline: Random restarts, late entries and revocations find an injected fault
    Then 150 runs of items beside restarts with "<fault>" find a fault

    Examples:
      | fault                                        |
      | an item that begins afresh keeps its texts   |
      | an item that begins afresh keeps its version |
      | an item goes on at any version               |
      | an item waits for its version without end    |
      | late entries are ignored                     |

  Scenario: Random restarts, late entries and revocations never join two versions
    Then 150 runs of items beside restarts with "none" find no fault
