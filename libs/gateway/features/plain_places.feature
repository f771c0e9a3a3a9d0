Feature: Requests that wait for answers of plain runners are bounded
  Each has a connection to its runner, which costs the host a file descriptor.

  Scenario Outline: Places for requests
    Given 8 places, of which "draw" has <draw>, "look" <look> and "list" <list>
    When a request for "draw" asks for a place
    Then the place is <decision>

    Examples:
      | draw | look | list | decision |
      | 0    | 0    | 0    | granted  |
      | 3    | 0    | 0    | granted  |
      | 4    | 0    | 0    | refused  |
      | 0    | 4    | 3    | granted  |
      | 0    | 4    | 4    | refused  |

  # Guards against places that are kept for requests that have ended
  Scenario: A place is free again when its request ends
    Given 8 places, of which "draw" has 4, "look" 0 and "list" 0
    When a request for "draw" ends
    And a request for "draw" asks for a place
    Then the place is granted
