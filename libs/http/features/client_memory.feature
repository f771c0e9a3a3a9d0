Feature: What all clients of a process make it hold
  Who is dropped or refused when it is too much; small requests always find room.

  Scenario Outline: Room for an upload
    Given room for 100 KB, of which clients hold <held> KB since <ages> s
    When an upload asks for <asked> KB
    Then it is <decision>, and dropped are the clients <dropped>

    Examples:
      | held     | ages    | asked | decision | dropped |
      | 40,40    | 0,0     | 20    | kept     | none    |
      | 40,40    | 0,0     | 21    | refused  | none    |
      | 40,40    | 0,0.9   | 21    | refused  | none    |
      | 40,40    | 0,1     | 21    | kept     | 2       |
      | 40,40    | 3,2     | 21    | kept     | 1       |
      | 40,40    | 3,2     | 90    | kept     | 1,2     |
      | 40,40    | 3,2     | 101   | refused  | 1,2     |

  # Guards against bounds that hold one by one and not together
  Scenario Outline: What other parts of the process hold counts as well
    Given room for 100 KB, of which clients hold 40 KB since 0 s
    And room for 150 KB of all parts together, of which others hold <others> KB
    When an upload asks for <asked> KB
    Then the upload is <decision>; dropped are the clients <dropped>

    Examples:
      | others | asked | decision | dropped |
      | 0      | 60    | kept     | none    |
      | 50     | 60    | kept     | none    |
      | 51     | 60    | refused  | none    |
      | 120    | 16    | kept     | none    |
      | 170    | 16    | kept     | 1       |
      | 210    | 16    | refused  | 1       |

  # Guards against bytes that are counted for ever
  Scenario: What has ended counts nothing more
    Given room for 100 KB, of which clients hold 40,40 KB since 0,0 s
    When what they hold ends, and is resized to 90 KB after that
    And an upload asks for 100 KB
    Then it is kept, and dropped are the clients none

  # Guards against requests that are answered 503 though they run
  Scenario: What is in use is not dropped
    Given room for 100 KB, of which clients hold 90 KB since 9 s
    When what they hold is in use
    And an upload asks for 20 KB
    Then it is refused, and dropped are the clients none

  Scenario Outline: Room for a connection
    Given room for 3 connections, that wait for their clients since <waits> s and have served <served> requests
    When another connection comes
    Then the connection that makes room is <evicted>

    Examples:
      | waits     | served | evicted |
      | 5,9,7     | 0,0,0  | 2       |
      | 5,9,7     | 0,4,0  | 3       |
      | 5,9,7     | 1,4,2  | 2       |
      | 0.1,no,no | 1,0,0  | 1       |
      | no,no,no  | 0,0,0  | none    |

  # Guards against a counter for each address that somebody comes from
  Scenario: Those who were cut are counted by address, and the log names them at intervals
    Given a guard of clients
    When 100 clients of different addresses are cut, each 3 times
    Then 64 addresses are counted 3 times each, and the others 108 times together

  # Guards against a parser that is fed a block for each request that is answered
  Scenario: Requests ahead of an answer are read no further than a bound
    Given a server whose handler never returns
    When a client sends 8000 KB of requests ahead
    Then the server has taken less than 1000 KB of them

  # Guards against work for a client whose end lies behind what is not read
  Scenario: A client that has sent requests ahead and leaves is noticed
    Given a server whose handler never returns
    When a client sends 40 KB of requests ahead
    And that client disconnects
    Then the handler is cancelled within 2 s
