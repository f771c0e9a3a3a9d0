Feature: Log lines on requests that leave their data centre

  Scenario Outline: It is logged when leaving is common, once in a while
    Given a home whose pool has given slots to 100 requests inside and 0 outside
    When its log looks at the pool for 9 s, with <inside> inside and <outside> outside a second
    Then it logs <lines> times that requests leave their data centre

    Examples:
      | inside | outside | lines |
      | 10     | 1       | 0     |
      | 10     | 5       | 1     |
      | 1      | 1       | 0     |
