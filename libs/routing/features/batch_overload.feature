Feature: More batch work than the runners can do in time
  Requests of batch jobs come for 20 s, each due 18 s after it came; runners with 40 slots
  need about 5 s for one. The best order in hindsight fills each slot with requests that
  end in time.

  Scenario Outline: Requests that can still end in time go first
    When requests come <times> times as fast as the runners can serve them
    Then at least <share> of what the best order ends in time ends in time
    And each request ends once

    Examples:
      | times | share |
      | 0.5   | 1.0   |
      | 0.9   | 1.0   |
      | 1.5   | 0.9   |
      | 2     | 0.9   |
      | 6     | 0.9   |

  Scenario: By due time alone far more would be late
    When requests come 6 times as fast as the runners can serve them
    Then at least half again as many end in time as by due time alone

  Scenario: Late requests are not left for ever
    When requests come 2 times as fast for 60 s
    Then no request waits for more than 60 s while others come
