Feature: Fair order of workspaces that share the runners of a service
  Two large workspaces and 18 small ones usually take 0.7 of 40 slots. For 7 s, some send
  many times their usual. Their callers come back once after a refusal.

  Scenario Outline: A workspace within its share gets what it gets when all are
    When <hot> send <times> times their usual
    Then each other workspace has 0.95 of the answers in time that it has without them
    And nobody's slots stay unused: at least 0.97 of what is served in any order

    Examples:
      | hot              | times |
      | large-1          | 4.9   |
      | small-3          | 4.9   |
      | small-3          | 30    |
      | small-3, large-2 | 4.9   |

  Scenario: Without word of the workspaces others lose their answers
    Given the pool is not told the workspaces
    When large-1 send 4.9 times their usual
    Then some other workspace has less than 0.7 of the answers in time

  Scenario: The hot workspace still gets its share
    When large-1 send 4.9 times their usual
    Then large-1 has at least the answers in time that it has at its usual
    And the dump tells of at most 8 workspaces, of large-1 first, and of a request that gave way

  Scenario: A workspace of more weight gets more while slots are short
    Given the weight of small-3 is 4
    When small-3, small-4 send 40 times their usual
    Then small-3 has at least twice as many answers as small-4

  Scenario: Refused callers come back one after another
    When large-1 send 4.9 times their usual
    Then in no second more than 40 calls of a workspace are told to come back

  Scenario Outline: All send more: none starves
    When all send <times> times their usual
    Then each workspace is served at least half as often as all
    And nobody's slots stay unused: at least 0.97 of what is served in any order

    Examples:
      | times |
      | 1.6   |
      | 4     |

  Scenario: A workspace that sends many batch requests does not hold up others
    When batch requests come at 0.5 of what 40 slots can do, and 40 a second of "dump"
    Then at least 0.95 of the others end in time, and of "dump" as many as slots are left

  Scenario: Batch requests that can all end in time go by due time alone
    Given one batch request each of "a,b" due in 26 s wait, and 12 of "dump" due in 25 s
    Then the first 12 granted are of "dump"

  Scenario: A batch request near its due time goes first whoever sent it
    Given one batch request each of "a,b" due in 30 s wait, and 200 of "dump" due in 6 s
    Then the first 1 granted are of "dump"
