Feature: A proxy that injects faults
  Soaks end by closing their proxies, whatever state the connections are in.

  Scenario Outline: Connections that their peers reset while data are held are closed
    Given a connection through a proxy
    When the proxy changes to "<held>"
    And the <peer> resets the connection
    And the proxy changes to "closed"
    Then the proxy closes without an error

    Examples:
      | held    | peer   |
      | paused  | caller |
      | paused  | target |
      | hanging | caller |
      | hanging | target |

  Scenario Outline: A connection may be reset just before its proxy closes it
    Given a connection through a proxy
    When the <peer> resets the connection <n_turns> turns of the loop before the proxy changes to "closed"
    Then the proxy closes without an error

    Examples:
      | peer   | n_turns |
      | caller | 2       |
      | caller | 3       |
      | caller | 4       |
      | target | 3       |
      | target | 5       |
