Feature: The limit of a workspace over all hosts
  One host counts for a workspace. In no window do all hosts together send more than its
  limit and the tolerance, whatever happens to the host that counts.

  Scenario Outline: The limit holds in every window
    Given a simulated fleet of <hosts> hosts and 88 workspaces, seeds 0 to <seeds>
    When five workspaces send six times their use, and hosts are "<trouble>"
    Then in no window are more requests sent than the limits allow
    And a request takes <messages> messages at most on average

    Examples:
      | hosts | seeds | trouble                | messages |
      | 9     | 1     | none                   | 1.0      |
      | 77    | 0     | none                   | 1.0      |
      | 370   | 0     | none                   | 1.0      |
      | 9     | 2     | killed                 | 1.2      |
      | 77    | 0     | killed                 | 1.2      |
      | 77    | 0     | frozen                 | 1.2      |
      | 77    | 0     | cut off                | 1.2      |
      | 9     | 2     | half cut off           | 1.2      |
      | 77    | 0     | half cut off           | 1.2      |
      | 9     | 2     | all replaced           | 1.3      |
      | 77    | 0     | all replaced           | 1.3      |
      | 77    | 0     | half killed            | 1.3      |
      | 77    | 0     | half of a former build | 1.3      |
      | 9     | 3     | troubled at random     | 1.5      |

  Scenario Outline: What the limit allows is granted
    Given a simulated fleet of <hosts> hosts and 88 workspaces, seeds 0 to <seeds>
    When five workspaces send six times their use, and hosts are "<trouble>"
    Then at least <usual> of what the usual workspaces may send is granted, and <hot> of what the hot ones may

    Examples:
      | hosts | seeds | trouble                | usual | hot  |
      | 9     | 1     | none                   | 0.99  | 0.99 |
      | 77    | 0     | none                   | 0.99  | 0.99 |
      | 370   | 0     | none                   | 0.99  | 0.99 |
      | 9     | 2     | killed                 | 0.95  | 0.95 |
      | 77    | 0     | killed                 | 0.95  | 0.95 |
      | 77    | 0     | frozen                 | 0.95  | 0.95 |
      | 77    | 0     | cut off                | 0.95  | 0.95 |
      | 9     | 2     | half cut off           | 0.95  | 0.95 |
      | 77    | 0     | half cut off           | 0.95  | 0.95 |
      | 9     | 2     | all replaced           | 0.95  | 0.95 |
      | 77    | 0     | all replaced           | 0.95  | 0.95 |
      | 77    | 0     | half killed            | 0.95  | 0.95 |
      | 77    | 0     | half of a former build | 0.95  | 0.95 |
      | 9     | 3     | troubled at random     | 0.95  | 0.95 |

  Scenario Outline: The simulation finds hosts that break the limit
    Given a simulated fleet of 9 hosts and 88 workspaces, seeds 0 to 2
    And its hosts <fault>
    When five workspaces send six times their use, and hosts are "<trouble>"
    Then in some window more requests are sent than the limits allow

    Examples:
      | fault                               | trouble      |
      | start with a full bucket            | all replaced |
      | count for the whole fleet           | half cut off |
      | count as soon as they have started  | all replaced |
      | grant all in place of a silent home | half cut off |

  Scenario: Refused callers are told to come back one after the other
    Given a workspace limited to 10 requests a second and 5 at once
    When 60 of its requests come at once
    Then 10 of them are granted
    And the others are told to come back at most 0.15 s apart, within 5 s

  Scenario: A lower limit binds at once
    Given a workspace limited to 100 requests a second and 100 at once
    When 50 of its requests come at once
    And its limit is set to 2 requests a second and 2 at once
    And 50 of its requests come at once
    Then 7 of them are granted

  Scenario: Requests that were sent without asking are counted with the next ask
    Given a workspace limited to 10 requests a second and 5 at once
    When a host asks that has sent 6 requests without asking
    And 60 of its requests come at once
    Then 3 of them are granted

  Scenario: A workspace without a limit has no quota
    Then a workspace with 0 requests a second has no quota
