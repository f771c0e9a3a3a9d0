@alone
Feature: Clients and peers outside the limits end no host
  What a host may hold follows from its settings memory_mb and max_descriptors. The
  bounds do not depend on the speed of the machine.

  Background:
    Given a host with 100 MB of memory and 300 descriptors

  # Guards against bodies that only the limit of each one bounds
  Scenario Outline: Bodies that stop short of their end
    When 40 clients send all but the end of a body of 4 MB <way>
    Then the host is within its memory and half of its descriptors
    And an ordinary call is answered

    Examples:
      | way                   |
      | with a length         |
      | in chunks             |
      | in chunks of 8 bytes  |

  Scenario: Requests that are sent ahead, with their answers unread
    When 12 clients send requests ahead for "/nowhere"
    Then the host is within its memory and half of its descriptors
    And an ordinary call is answered

  # Guards against connections that take all descriptors
  Scenario Outline: Connections without a request
    When 400 clients connect to the <port> port and send one byte
    Then the host is within its memory and half of its descriptors
    And an ordinary call is answered

    Examples:
      | port   |
      | caller |
      | peer   |

  # Guards against frames without any bound on their sum
  Scenario: Frames that stop short of their end
    When 40 peers send all but the end of a frame of 4 MB
    Then the host is within its memory and half of its descriptors
    And an ordinary call is answered

  # Guards against documents that take many times their bytes once they are parsed
  Scenario: Documents of empty lists
    When 3 documents of 4 MB of empty lists are sent to be generated
    Then the host is within its memory and half of its descriptors
    And an ordinary call is answered

  # Guards against bounds that refuse what the limits allow
  Scenario: A single large body is served
    When a single call comes with a body of 4 MB in chunks of 16 bytes
    Then it is answered with status 200
