@alone
Feature: Clients that send bodies in tiny chunks end no host
  What a parser makes of a chunk can take many times the memory of the chunk's bytes,
  and as much time as a whole request. A host is a process of its own here.

  Background:
    Given a host with 80 MB of memory and 300 descriptors, and bodies of 2 MB

  # Guards against bodies that are kept as one object for each chunk
  Scenario Outline: Bodies in tiny chunks that stop short of their end
    When 40 clients stop short of the end of a body of 2 MB in chunks of <size> bytes to "<path>"
    Then the host is within its memory and half of its descriptors
    And an ordinary request and a readiness probe are answered

    Examples:
      | path     | size |
      | /look/1  | 8    |
      | /nowhere | 8    |
      | /look/1  | 3    |

  # Guards against bounds that refuse what the limits allow
  Scenario Outline: A single body in tiny chunks is served
    When a single request comes with <size>
    Then it is answered with status 200

    Examples:
      | size                                |
      | a body of 2 MB in chunks of 16 bytes |
      | a body of 1 MB in chunks of 3 bytes  |
