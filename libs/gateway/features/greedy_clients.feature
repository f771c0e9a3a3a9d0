@alone
Feature: Clients outside the limits end no host
  A host is a process of its own here, so that its memory is what the platform counts.
  The bounds do not depend on the speed of the machine.

  Background:
    Given a host with 80 MB of memory and 300 descriptors, and bodies of 2 MB

  # Guards against hosts that run out of memory, and requests that end with them
  Scenario Outline: Requests that are sent ahead, with their answers unread
    When 12 clients send requests ahead to the <address> for "<path>"
    Then the host is within its memory and half of its descriptors
    And an ordinary request and a readiness probe are answered

    Examples:
      | address   | path                        |
      | readiness | /damaskjunction/readiness   |
      | caller    | /nowhere                    |
      | directory | /damaskjunction/resolve     |

  Scenario Outline: Bodies that stop short of their end
    When 40 clients send all but the end of a body of 2 MB <way>
    Then the host is within its memory and half of its descriptors
    And an ordinary request and a readiness probe are answered

    Examples:
      | way           |
      | with a length |
      | in chunks     |

  Scenario: Whole bodies at once, with their answers unread
    When 40 clients send a body of 2 MB with a length
    Then the host is within its memory and half of its descriptors
    And an ordinary request and a readiness probe are answered

  # Guards against texts of jobs that wait for runners, without any bound
  Scenario: Large jobs that nobody runs
    When 60 jobs of 1800 KB are submitted, one after another
    Then the host is within its memory and half of its descriptors
    And those that were not accepted were refused with status 429
    And an ordinary request and a readiness probe are answered
    And a job of 2 small items is accepted

  Scenario Outline: Connections without a request
    When 400 clients connect to the <address> address and send part of a head
    Then the host is within its memory and half of its descriptors
    And an ordinary request and a readiness probe are answered

    Examples:
      | address   |
      | readiness |
      | caller    |

  # Guards against bounds that refuse what the limits allow
  Scenario Outline: A single request at each limit is served
    When a single request comes with <size>
    Then it is answered with status 200

    Examples:
      | size                       |
      | a body of 2 MB             |
      | a body of 2 MB in chunks   |
      | headers of 8000 bytes      |
