Feature: The HTTP server
  What a peer sends costs that peer alone.

  Scenario: Any bytes leave the server serving
    Given a server that echoes bodies of at most 1000 bytes
    When 200 connections send bytes chosen with seed 1
    Then a good request is still answered
    And the server holds no connection

  Scenario: Mutated requests leave the server serving
    Given a server that echoes bodies of at most 1000 bytes
    When 300 connections send requests changed with seed 2
    Then a good request is still answered
    And the server holds no connection

  Scenario Outline: Limits are kept
    Given a server that echoes bodies of at most 1000 bytes
    When a request with <what> is sent
    Then it is answered with <status>

    Examples:
      | what                     | status |
      | a body of 1001 bytes     | 413    |
      | a body of 1000 bytes     | 200    |
      | 100 headers              | 431    |
      | a head of 20000 bytes    | 431    |
      | an unknown path          | 404    |
      | an unknown method        | 405    |

  Scenario: A handler is cancelled when its caller goes away
    Given a server whose handler waits
    When a caller connects, asks and goes away
    Then the handler is cancelled within 2 s
