Feature: Answers that break off, and odd heads
  An answer that breaks off is none, wherever that is; an odd value in a head harms only
  what it stands for.

  Scenario Outline: An answer that breaks off at any byte is not taken for whole
    Given a server whose answers have <framing>
    When its answer breaks off after each number of bytes, by a <end>
    Then no answer that broke off was taken for whole, but the last was read

    Examples:
      | framing                       | end   |
      | a length                      | close |
      | a length                      | reset |
      | chunks                        | close |
      | chunks                        | reset |
      | chunks with extensions        | close |
      | chunks and trailers           | close |
      | chunks and trailers           | reset |
      | an interim head and a length  | close |
      | a length of nothing           | close |
      | chunks of nothing             | close |

  Scenario Outline: An answer without a length is taken for whole only as one that ends with its connection
    Given a server whose answers have no length
    When its answer breaks off after each number of bytes, by a <end>
    Then each one that was read ends with its connection, and none broke off in its head

    Examples:
      | end   |
      | close |
      | reset |

  Scenario Outline: A head that is none is no answer
    Given a server whose answer begins with <text>
    When it is asked
    Then that is no answer

    Examples:
      | text                                                             |
      | "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n" |
      | "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n"                   |
      | "HTTP/1.1 200 OK\r\nContent-Length: 1e1\r\n\r\n"                  |
      | "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\n"                   |
      | "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n"              |
      | "HTTP/1.1 200 OK\r\nX-A: b\x00c\r\n\r\n"                          |
      | "HTTP/1.1 200 OK\r\n: b\r\n\r\n"                                  |
      | "HTTP/1.1 200 OK\r\nX A: b\r\n\r\n"                               |
      | "HTTP/1.1 20 OK\r\n\r\n"                                          |
      | "\xff\xfe\r\n\r\n"                                                |
      | "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\n"                      |
      | "HTTP/1.1 600 OK\r\nContent-Length: 5\r\n\r\n"                      |
      | "HTTP/1.1 999 OK\r\nContent-Length: 5\r\n\r\n"                      |

  Scenario: An odd announcement of the time that a connection is kept is not believed
    Given a server whose answer begins with "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=\xb2\r\nContent-Length: 5\r\n\r\n"
    When it is asked
    Then its answer is read

  # Guards against a list of which only the last line is forwarded
  Scenario Outline: A header in several lines is the list of them
    Given the header lines "<lines>"
    Then the header "<name>" is "<value>"

    Examples:
      | lines                                           | name            | value           |
      | X-Prompt-Prefix=a:100,b:200;X-Prompt-Prefix=c:3 | x-prompt-prefix | a:100,b:200,c:3 |
      | A=1;B=2;a=3;A=4                                 | a               | 1,3,4           |
      | A=1;B=2;a=3;A=4                                 | b               | 2               |
      | Set-Cookie=a=1, 2;Set-Cookie=b=2                | set-cookie      | b=2             |

  Scenario: Bytes of headers beyond ASCII are sent and returned as they came
    Given a server that returns the header "X-Note" of its requests
    When it is asked with the bytes "caf\xe9" in that header
    Then the answer has them in its header

  Scenario Outline: An event whose id is no number of digits has none
    When the event with the id "<text>" is read
    Then the event has no id

    Examples:
      | text  |
      | ²     |
      | ３    |
      | -1    |
      | 99999999999999999999 |
