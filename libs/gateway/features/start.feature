Feature: Start of a host process
  A host starts often, so it loads and does no more than it needs.

  Scenario: A host loads no modules that only other programs use
    When the modules that a host loads are listed
    Then "damaskjunction.gateway.root" is among them
    And none of these is among them:
      | module                     |
      | yaml                       |
      | damaskjunction.settings    |
      | damaskjunction.node.daemon |
      | damaskjunction.node.root   |

  Scenario: A read of a socket takes a buffer of the heap
    When the buffers that reads of sockets take are limited
    Then a connection reads at most 65536 bytes at once
