Feature: Callers by their keys
  The key of a caller tells its workspace, and what it may reach.

  Scenario Outline: A request needs a known key, unless its route is public
    Given the workspaces "clubs" with key "k1" and "buggies" with key "k2"
    When a caller sends "<authorization>"
    Then its workspace is "<workspace>" and its denial "<denial>"
    And it may use a route: <may_use>, and a public one: True

    Examples:
      | authorization | workspace | denial      | may_use |
      | Bearer k1     | clubs     |             | True    |
      | bearer  k2    | buggies   |             | True    |
      | Bearer k3     |           | unknown_key | False   |
      | Bearer K1     |           | unknown_key | False   |
      | Bearer k1,k2  |           | unknown_key | False   |
      | Basic k1      |           | no_key      | False   |
      | Bearer        |           | no_key      | False   |
      |               |           | no_key      | False   |

  Scenario: Without workspaces any caller may use any route
    Given no workspaces
    When a caller sends "Bearer k3"
    Then its workspace is "" and its denial ""
    And it may use a route: True, and a public one: True

  Scenario Outline: A job is reached by its workspace alone, unless its route is public
    Given the workspaces "clubs" with key "k1" and "buggies" with key "k2"
    When a caller sends "<authorization>"
    Then it may reach a job of "<owner>": <may_reach>, and if public: True
    And a job of "<owner>" may be sent by it once more: <may_have_sent>

    Examples:
      | authorization | owner | may_reach | may_have_sent |
      | Bearer k1     | clubs | True      | True          |
      | Bearer k2     | clubs | False     | False         |
      | Bearer k2     |       | True      | True          |
      | Bearer k3     | clubs | False     | True          |
      | Bearer k3     |       | False     | True          |

  Scenario Outline: The priority of a workspace goes before that of the route
    Then a route of priority 2 has priority <result> for a workspace of <priority>

    Examples:
      | priority | result |
      | 0        | 0      |
      | 5        | 5      |
      | none     | 2      |
