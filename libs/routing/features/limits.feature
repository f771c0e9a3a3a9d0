Feature: Adaptive concurrency limits
  A runner's concurrency limit adapts to its token interval and time to first token.

  Scenario: The limit starts low and grows while the latency targets are met
    Given adaptive limits for 8 slots
    Then the limit is 4
    When the limit is in use for 2 s with 18 ms between tokens
    Then the limit is 8

  Scenario: The limit falls when tokens are too slow, and regrowth is delayed
    Given adaptive limits for 8 slots
    When the limit is in use for 2 s with 18 ms between tokens
    And the limit is in use for 1 s with 60 ms between tokens
    Then the limit is at most 6
    When the limit is in use for 5 s with 18 ms between tokens
    Then the limit is at most 7
    When the limit is in use for 10 s with 18 ms between tokens
    Then the limit is 8

  Scenario: The batch limit shrinks before the total limit
    Given adaptive limits for 8 slots
    When the limit is in use for 2 s with 18 ms between tokens
    And online and 4 batch requests run for 0.6 s with 45 ms between tokens
    Then the limit is 8
    And the batch limit is at most 2

  Scenario: Late first tokens lower the limit
    Given adaptive limits for 8 slots
    When first tokens take 2 s for 1 s
    Then the limit is at most 3

  Scenario: A limit that fails repeatedly is retried with growing delays
    Given adaptive limits for 8 slots
    When the runner is too slow with more than 5 requests for 60 s
    Then the limit was above 5 for at most 5 in 100 of the time
