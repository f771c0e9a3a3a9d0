Feature: A call to the store that is made two ways has one outcome
  A call to the store is made directly and through other hosts. It provably had no
  effect only if that is known of each way on which it was made: a job that is refused
  as not accepted must never run.

  # Guards against a job that was refused with 503 at each attempt and ran later
  Scenario Outline: A write has no effect only if it had none on either way
    Given a host whose direct write to the store is <direct>, and <relayed> through others
    When it writes to the store
    Then the outcome of the write is <outcome>

    Examples:
      | direct       | relayed      | outcome     |
      | refused      | unanswered   | unknown     |
      | turned away  | unanswered   | unknown     |
      | unanswered   | refused      | unknown     |
      | unanswered   | turned away  | unknown     |
      | unanswered   | unanswered   | unknown     |
      | not made     | unanswered   | unknown     |
      | refused      | refused      | unavailable |
      | turned away  | refused      | unavailable |
      | turned away  | turned away  | unavailable |
      | not made     | turned away  | unavailable |
      | refused      | done         | done        |
      | turned away  | done         | done        |
      | unanswered   | done         | done        |
      | done         | unanswered   | done        |

  Scenario Outline: A read that gets no response on either way is repeated by its caller
    Given a host whose direct read of the store is <direct>, and <relayed> through others
    When it reads from the store
    Then the outcome of the read is unavailable

    Examples:
      | direct      | relayed     |
      | refused     | unanswered  |
      | unanswered  | refused     |
      | turned away | unanswered  |

  # Guards against a refusal of a job that the store holds
  Scenario: A job whose id is taken by an object that can't be read may be accepted
    Given a host to whose write the store answers that the object exists, illegibly
    When it writes to the store
    Then the outcome of the write is unknown

  # Guards against the promise that a job was not ended, where it may have been
  Scenario Outline: The end of a job is refused as not done only if it provably was not
    Given a job whose end is <written> to the store
    When a caller ends the job
    Then the caller is answered with <status>

    Examples:
      | written      | status |
      | refused      | 503    |
      | unanswered   | 502    |
      | done         | 200    |
