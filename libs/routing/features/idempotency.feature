Feature: Repeated calls with an idempotency key
  A repeated call never runs a call that ran or may have run.

  Scenario Outline: How a repeated call is resolved
    Given a claim that is "<state>" with outcome "<outcome>"
    When <digest> call is repeated and <waits>
    Then the result is "<result>"

    Examples:
      | state    | outcome | digest      | waits        | result              |
      | free     | not_run | the same    | may wait     | TakeOverClaim       |
      | claimed  | unknown | the same    | may wait     | RecheckClaim        |
      | claimed  | unknown | the same    | may not wait | in_progress         |
      | answered | ran     | the same    | may wait     | ReplayAnswer        |
      | failed   | unknown | the same    | may wait     | earlier_call_failed |
      | failed   | ran     | the same    | may not wait | earlier_call_failed |
      | answered | ran     | a different | may wait     | RejectKeyReuse      |
