Feature: Peers that send without end
  A faulty peer may send bytes that are no response, without end and many at once. What
  is kept of them is bounded in sum, and other requests are served meanwhile.

  # Guards against a process that runs out of memory, or serves nobody else meanwhile
  Scenario Outline: Responses without end, many at once, leave room for other requests
    Given a peer that answers each request with <flood> without end
    When 40 requests are sent to it at once, and others to a sound peer
    Then each of the 40 is given up within 4 s
    And each request to the sound peer is answered within 1 s
    And the process has taken at most 48 MB of memory more

    Examples:
      | flood                     |
      | header lines              |
      | one header line           |
      | interim heads             |
      | a body                    |
      | a body of a known length  |
      | chunks of two bytes       |
      | chunks of one byte        |
      | a chunk header            |
      | a chunk extension         |
      | trailers                  |
      | one event                 |
      | one event in small chunks |
      | empty events              |

  # Guards against connections that each take a while, all in one turn of the loop
  Scenario: Full connections are handled one after another
    Given a peer that answers each request with empty events without end
    When 160 requests are sent to it at once, and others to a sound peer
    Then each request to the sound peer is answered within 1 s

  # Guards against a reader that is full and read on all the same
  Scenario Outline: Paced responses without end are read no faster than they are handled
    Given a peer that answers each request with <flood> without end
    When 40 paced requests are sent to it at once, and others to a sound peer
    Then each of the 40 is given up within 4 s
    And each request to the sound peer is answered within 1 s
    And the process has taken at most 48 MB of memory more

    Examples:
      | flood                     |
      | one event                 |
      | one event in small chunks |

  # Guards against memory and descriptors that idle connections take
  Scenario: Idle connections on which a peer goes on to send are closed
    Given a peer that answers each request with bytes after the response without end
    When 200 requests are sent to it at once, and others to a sound peer
    Then the connections to the peer are closed within 3 s
    And the process has taken at most 48 MB of memory more

  Scenario: A connection that is not read holds a bounded part of what arrives
    Given a peer that answers each request with a body without end
    When a request is sent to it and the response is not read for 0.5 s
    Then the connection holds at most 98304 bytes

  Scenario Outline: Of all that is kept the largest part is given up first
    Given a budget of 1000 bytes of which responses keep <kept>
    When another response keeps <more>
    Then the responses that are given up kept <lost>
    And at most 1000 bytes are counted as kept

    Examples:
      | kept        | more | lost     |
      | 100,400,200 | 300  | none     |
      | 100,400,200 | 301  | 400      |
      | 100,400,200 | 900  | 900      |
      | 300,300,300 | 400  | 400      |
      | 500,400,100 | 450  | 500      |

  # Guards against the loss of a sound peer's large response to a faulty one's many
  Scenario: The peer that sent most of what is kept loses its own parts
    Given a budget of 1000 bytes of which responses of a sound peer keep 400
    When 20 responses of a faulty peer keep 50 bytes more each
    Then at most 1000 bytes are counted as kept
    And none of the sound peer's is given up

  Scenario: What is kept no more leaves its room to others
    Given a budget of 1000 bytes of which responses keep 600,300
    When the first response is read to its end
    And another response keeps 700
    Then the responses that are given up kept none
