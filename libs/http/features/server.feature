Feature: HTTP server
  Malformed or oversized input from one peer does not affect other peers.

  Scenario: The server survives random input
    Given a server that echoes bodies of at most 1000 bytes
    When 200 connections send random bytes from seed 1
    Then a valid request is still answered
    And the server has no open connections

  Scenario: The server survives mutated requests
    Given a server that echoes bodies of at most 1000 bytes
    When 300 connections send requests mutated with seed 2
    Then a valid request is still answered
    And the server has no open connections

  Scenario Outline: Request limits and routes are enforced
    Given a server that echoes bodies of at most 1000 bytes
    When a request with <what> is sent
    Then the response status is <status>

    Examples:
      | what                     | status |
      | a body of 1001 bytes     | 413    |
      | a body of 1000 bytes     | 200    |
      | 100 headers              | 431    |
      | a head of 20000 bytes    | 431    |
      | an unknown path          | 404    |
      | a malformed target       | 400    |
      | an unknown method        | 405    |

  # Guards against a request that is routed by a part of its path
  Scenario Outline: The path of a request is the whole of it
    Given a server that returns the path and the query that it was asked for
    When a request for "<target>" is sent
    Then the path is "<path>" and the query "<query>"

    Examples:
      | target                   | path             | query |
      | /pace/1                  | /pace/1          |       |
      | //shop/pace/1            | //shop/pace/1    |       |
      | ///pace/1?a=//b          | ///pace/1        | a=//b |
      | //shop?a=1               | //shop           | a=1   |
      | /shop//pace/1            | /shop//pace/1    |       |
      | /a%2Fb/1?c=d             | /a%2Fb/1         | c=d   |
      | http://host/pace/1?a=b   | /pace/1          | a=b   |

  Scenario: A handler is cancelled when its client disconnects
    Given a server whose handler never returns
    When a client sends a request and disconnects
    Then the handler is cancelled within 2 s

  # Guards against work for a client that has reset its connection
  Scenario: A handler is cancelled when its client resets the connection
    Given a server whose handler never returns
    When a client sends a request and resets its connection
    Then the handler is cancelled within 2 s

  Scenario Outline: A request that arrives as the server drains is answered
    Given a server that echoes bodies of at most 1000 bytes
    When the server drains just after a request was sent on <connection>
    Then the request is answered with status 200
    And the server ends its draining within 2 s

    Examples:
      | connection                                  |
      | a kept connection                           |
      | a connection that is not accepted yet       |
      | a connection whose first request is not due |

  Scenario: Idle connections do not hold up a server that drains
    Given a server that echoes bodies of at most 1000 bytes
    When the server drains beside an idle connection
    Then the server ends its draining within 2 s

  # Guards against a request whose head is dropped, so that its body is run as one
  Scenario Outline: What a client pipelines behind a stream is not lost
    Given a connection on which a response is streamed
    When <first> of another request arrives as the stream ends, and the rest later
    Then that request is handled with its body, and no other one

    Examples:
      | first              |
      | the head           |
      | a part of the head |
      | all but the end    |

  # Guards against answers that wait for the acknowledgement of their head
  Scenario: What is written on a connection is sent at once
    Given a server that echoes bodies of at most 1000 bytes
    When a client has a kept connection
    Then the server does not delay small segments on it
