Feature: A cancellation that is stored is not refused
  Cancelling a job stores the cancellation and then stops the work on each host. A
  caller is told that the job was not cancelled only if nothing was stored.

  # Guards against a refusal of a cancellation that is in force
  Scenario Outline: The platform fails in the course of a cancellation
    Given an open job, and a platform that fails <step>
    When the job is cancelled
    Then the response is <status> and the stored job is <state>

    Examples:
      | step                           | status | state     |
      | the write of the cancellation  | 503    | open      |
      | the answer to the cancellation | 504    | cancelled |
      | the read of the job's chunks   | 202    | cancelled |
      | the read of the job's queue    | 202    | cancelled |
      | nothing                        | 200    | cancelled |
