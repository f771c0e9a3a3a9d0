Feature: Chunk claims
  A chunk is claimed by one host at a time and committed once, despite paused
  hosts, delayed, duplicated or lost writes, and lost responses.

  Scenario Outline: The state machine detects an injected fault
    Given the injected fault "<fault>"
    When the state machine test runs <n> examples
    Then it fails with "<message>"

    Examples:
      | fault                     | n    | message                                   |
      | unconditional commit      | 2000 | a completed chunk was modified            |
      | job record is not checked | 2000 | an item started after the cancellation    |

  Scenario: The unmodified claim logic passes
    Given the injected fault "none"
    When the state machine test runs 600 examples
    Then it passes
