Feature: Workspaces in the platform's formats
  The configuration lists workspaces with their keys; runners are told their names.

  Scenario: Workspaces and public routes are decoded
    Given a configuration with a public route and the workspace
      """
      {"Name": "w1", "ApiKeys": ["k1", "k2"], "Priority": 1, "RatePerS": 83, "Burst": 7}
      """
    Then its keys are "k1,k2", its priority 1, its limits 83 a second and 7 at once
    And only the first route is public

  Scenario: A workspace with a name alone has no keys, limits or priority
    Given a configuration with a public route and the workspace
      """
      {"Name": "w1"}
      """
    Then its keys are "", its priority None, its limits 0 a second and 0 at once

  Scenario Outline: A configuration with a malformed workspace is reported
    Given a configuration with a public route and the workspace
      """
      <entry>
      """
    Then it is invalid

    Examples:
      | entry                              |
      | {}                                 |
      | {"Name": "a\nb"}                   |
      | {"Name": "w1", "ApiKeys": "k1"}    |
      | {"Name": "w1", "ApiKeys": [7]}     |
      | {"Name": "w1", "ApiKeys": [""]}    |
      | {"Name": "w1", "RatePerS": "fast"} |
      | "w1"                               |

  Scenario Outline: Runners are told the workspace, and never the key
    Given a request with "Authorization: Bearer k1" and "X-Tenant: other"
    When it is sent on behalf of "<workspace>"
    Then its runner gets the workspace "<workspace>" and no key

    Examples:
      | workspace |
      | w1        |
      |           |

  Scenario: The record of a job names its workspace
    When the record of a job of "w1" is stored and read
    Then it is of "w1"
