Feature: Resends of calls with an idempotency key
  A resend never runs a call that ran or may have run.

  Scenario Outline: What a resend is told
    Given a claim that is "<state>" with outcome "<outcome>"
    When a resend of <digest> call comes that <waits>
    Then it is told "<told>"

    Examples:
      | state    | outcome | digest    | waits       | told                |
      | free     | not_run | the same  | may wait    | TakeOver            |
      | claimed  | unknown | the same  | may wait    | LookAgain           |
      | claimed  | unknown | the same  | waited      | in_progress         |
      | answered | ran     | the same  | may wait    | Replay              |
      | failed   | unknown | the same  | may wait    | earlier_call_failed |
      | failed   | ran     | the same  | waited      | earlier_call_failed |
      | answered | ran     | a different | may wait  | RefuseKey           |
