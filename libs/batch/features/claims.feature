Feature: Claims of chunks
  A chunk is claimed by one host at a time and committed once, whatever becomes of the
  hosts, their writes and the answers to these.

  Scenario Outline: The state machine finds a planted fault
    Given the planted fault "<fault>"
    When <n> runs of the state machine are tried
    Then it fails with "<message>"

    Examples:
      | fault                    | n    | message                                   |
      | commit at any version    | 2000 | a chunk that was done has changed         |
      | no reading of the record | 2000 | an item started after the cancellation    |

  Scenario: No fault is found in the decisions themselves
    Given the planted fault "none"
    When 600 runs of the state machine are tried
    Then it passes
