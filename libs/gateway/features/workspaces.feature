Feature: Workspaces and their keys
  Where workspaces are configured, the key of a caller decides, and stays with the host.

  Background:
    Given a fleet of 2 hosts on the platform
    And the workspaces "clubs" with keys "k1,k2" and "buggies" with keys "k3"

  Scenario Outline: A request without a known key is answered 401
    Given plain runners "p1"
    When a caller requests "<path>" at "h0" with "<header>"
    Then the caller gets status <status>
    And the answer names the request "q1"
    And "h0" counts <count> refusals for "<reason>"

    Examples:
      | path    | header                      | status | count | reason      |
      | /look/1 | Authorization: Bearer k9    | 401    | 1     | unknown_key |
      | /look/1 | X-Tenant: clubs             | 401    | 1     | no_key      |
      | /new/1  | Authorization: Bearer k9    | 404    | 0     | unknown_key |
      | /look/1 | Authorization: Bearer k1    | 200    | 0     | unknown_key |

  Scenario Outline: Runners get the workspace of the key, whatever the caller sent
    Given plain runners "p1"
    When a caller requests "<path>" at "h0" with "<headers>"
    Then the caller gets status 200
    And runner "p1" is told <workspace> for "q1", and no key

    Examples:
      | path    | headers                                     | workspace               |
      | /look/1 | Authorization: Bearer k2; X-Tenant: buggies | the workspace "clubs"   |
      | /open/1 | X-Tenant: buggies                           | no workspace            |
      | /open/1 | Authorization: Bearer k9; X-Tenant: clubs   | no workspace            |
      | /open/1 | Authorization: Bearer k3                    | the workspace "buggies" |

  Scenario: A stream that is resumed at another runner keeps its workspace
    Given engines "e1,e2"
    And every engine breaks streams after event 4
    When a caller with key "k1" requests "/alert/1" and engines recover after a break
    Then the caller gets events 1 to 10, complete
    And each runner was told the workspace "clubs" for "r1", and no key

  Scenario: A key that is taken away is refused on all hosts, and its streams go on
    Given slow engines "e1"
    And plain runners "p1"
    And the store can't be reached from "h0"
    When a caller with key "k1" requests "/ask/1" and the operator takes "k1" away
    Then each host answers the key "k1" with 401 within 3 s of the change
    And the caller gets events 1 to 40, complete
    And each host answers the key "k2" with 200 within 3 s of the change

  Scenario: Without workspaces headers go on as they came
    Given plain runners "p1"
    And the operator removes all workspaces
    When a caller requests "/look/1" at "h0" with "Authorization: Bearer k9; X-Tenant: x"
    Then the caller gets status 200
    And runner "p1" got "q1" with the headers "Authorization: Bearer k9; X-Tenant: x"
