Feature: HTTP client
  Responses that nobody reads along are read together, at intervals. A response fails
  when no data arrive for its stall timeout.

  Scenario: Paced responses are read together
    Given a server that streams 30 chunks 0.01 s apart
    When 6 responses are read with a pacer of 0.1 s
    Then each response is complete
    And chunks were read at no more than 8 times

  Scenario: A connection is read as data arrive once a paced response is complete
    Given a server that streams 10 chunks 0.02 s apart
    When a response is read with a pacer of 0.1 s, and another on its connection without
    Then each response is complete
    And chunks of the last response were read at no less than 5 times

  Scenario Outline: A paced response that does not go on is not taken for complete
    Given a server that streams 5 chunks 0.01 s apart and then <end>
    When a response is read with a pacer of 0.05 s and a stall timeout of 0.4 s
    Then the response failed with "<error>"

    Examples:
      | end                   | error                |
      | breaks the connection | BrokenResponseError  |
      | stalls                | StalledResponseError |

  Scenario: A response that takes longer than its stall timeout is read to its end
    Given a server that streams 20 chunks 0.05 s apart
    When a response is read with a stall timeout of 0.3 s
    Then each response is complete

  Scenario: A stall timeout that is shortened while a response is read takes effect
    Given a server that streams 5 chunks 0.01 s apart and then stalls
    When a response is read with a stall timeout of 20 s, then of 0.3 s
    Then the response failed with "StalledResponseError"
    And it failed within 2 s

  Scenario: A connection that was idle for longer than the stall timeout is used again
    Given a server that streams 3 chunks 0.01 s apart
    When 2 responses are read on a connection, 0.5 s apart, with a stall timeout of 0.2 s
    Then each response is complete

  Scenario: A response whose stated length is too large is refused at once
    Given a peer that states a length of 2000000 bytes and sends nothing more
    When its response is read with a limit of 1000000 bytes and a stall timeout of 2 s
    Then the response failed with "BrokenResponseError"
    And it failed within 0.5 s

  Scenario: Idle connections that may not be used again are closed, also if all are new
    Given a server that counts its open connections
    When a client with an idle timeout of 0.05 s sends 5 requests on new connections 0.1 s apart
    Then at most 2 connections to the server are open

  Scenario: Data that come while the process is late are no stall
    Given a read with a stall timeout of 0.1 s
    When the process stands still for 0.2 s, and data are there then
    Then the read returns them
    And so does the next read
