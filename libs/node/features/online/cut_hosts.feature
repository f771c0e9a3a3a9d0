Feature: Hosts that are cut off from runners
  What one host sees of a runner is no proof of the runner's state: another may reach it.

  Scenario Outline: Callers are served while homes of engines are cut off from all runners
    Given a running "small" fleet whose hosts can be cut off from runners
    When the homes of the engines are cut off from all runners by "<how>"
    And 20 tokens for "first?" are requested through each host
    Then every answer is complete within 2.5 s
    When 20 tokens for "next?" are requested through each host
    Then every answer is complete within 1.0 s

    Examples:
      | how    |
      | reset  |
      | refuse |
      | hang   |

  Scenario: A host that is cut off from runners accuses no request of a crash
    Given a running "small" fleet whose hosts can be cut off from runners
    When 150 tokens are requested through each host and, after 20, the homes of the engines are cut off by "reset"
    Then every answer is complete
    And no host has recorded a crash of a runner
    And no request is suspect or convicted
