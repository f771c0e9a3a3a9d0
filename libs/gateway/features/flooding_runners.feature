Feature: A runner whose answers never end harms no caller of another one
  A host is a process of its own here, so that its memory is what the platform counts.

  # Guards against hosts that run out of memory, and requests that end with them
  Scenario Outline: Online requests to a faulty runner, many at once
    Given a host with 150 MB of memory, sound runners but for the <service>
    And the <service> answers with <flood> without end
    When 40 callers ask the <service> at once, and others ask a sound runner
    Then each of the 40 gets no complete answer within 6 s
    And each of the others is answered within 1 s
    And the host has taken at most 150 MB

    Examples:
      | service       | flood                        |
      | engine        | header lines                 |
      | engine        | a chunk header               |
      | engine        | trailers                     |
      | engine        | a body                       |
      | engine        | one event in small chunks    |
      | engine        | empty events                 |
      | plain service | header lines                 |
      | plain service | a chunk header               |
      | plain service | trailers                     |
      | plain service | a body                       |
      | plain service | chunks of two bytes          |

  Scenario Outline: Items of batch jobs at a faulty runner, many at once
    Given a host with 150 MB of memory, sound runners but for the engine
    And the engine answers with <flood> without end
    When a job of 40 items is submitted, others ask a sound runner for 5 s
    Then each of the others is answered within 1 s
    And the host has taken at most 150 MB
    When the engine is replaced by a sound one
    Then the job is done within 30 s

    Examples:
      | flood                     |
      | header lines              |
      | a chunk header            |
      | trailers                  |
      | a body                    |
      | one event in small chunks |
      | small events              |
      | large events              |
