Feature: The fault matrix
  Every fault at every step of every flow; the promises hold in each cell.
  The quick cells run with all other features, the others by `make matrix`.

  @quick
  Scenario Outline: quick <fault> at <step> of <flow>
    Given a running "small" fleet
    When "<fault>" strikes at step "<step>" of flow "<flow>"
    Then every promise held

    Examples:
      | flow | step | fault |
      | call | before | runner_freeze |
      | call | streaming | host_kill |
      | call | streaming | runner_kill |
      | call | streaming | stream_cut |
      | pickup | sent | host_kill |
      | job | before | lost_answer |
      | job | accepted | platform_down |
      | job | running | host_kill |
      | configuration | before | lost_answer |
      | configuration | accepted | platform_down |
      | roll_out | accepted | host_kill |
      | drain | announced | none |
      | drain | announced | platform_down |

  @matrix
  Scenario Outline: long <fault> at <step> of <flow>
    Given a running "small" fleet
    When "<fault>" strikes at step "<step>" of flow "<flow>"
    Then every promise held

    Examples:
      | flow | step | fault |
      | call | before | none |
      | call | before | host_kill |
      | call | before | host_freeze |
      | call | before | runner_kill |
      | call | before | runner_slow |
      | call | before | stream_cut |
      | call | before | platform_down |
      | call | before | platform_slow |
      | call | before | lost_answer |
      | call | streaming | none |
      | call | streaming | host_freeze |
      | call | streaming | runner_freeze |
      | call | streaming | runner_slow |
      | call | streaming | platform_down |
      | call | streaming | platform_slow |
      | call | streaming | lost_answer |
      | pickup | before | none |
      | pickup | before | host_kill |
      | pickup | before | host_freeze |
      | pickup | before | runner_kill |
      | pickup | before | runner_freeze |
      | pickup | before | runner_slow |
      | pickup | before | stream_cut |
      | pickup | before | platform_down |
      | pickup | before | platform_slow |
      | pickup | before | lost_answer |
      | pickup | sent | none |
      | pickup | sent | host_freeze |
      | pickup | sent | runner_kill |
      | pickup | sent | runner_freeze |
      | pickup | sent | runner_slow |
      | pickup | sent | stream_cut |
      | pickup | sent | platform_down |
      | pickup | sent | platform_slow |
      | pickup | sent | lost_answer |
      | job | before | none |
      | job | before | host_kill |
      | job | before | host_freeze |
      | job | before | runner_kill |
      | job | before | runner_freeze |
      | job | before | runner_slow |
      | job | before | stream_cut |
      | job | before | platform_down |
      | job | before | platform_slow |
      | job | accepted | none |
      | job | accepted | host_kill |
      | job | accepted | host_freeze |
      | job | accepted | runner_kill |
      | job | accepted | runner_freeze |
      | job | accepted | runner_slow |
      | job | accepted | stream_cut |
      | job | accepted | platform_slow |
      | job | accepted | lost_answer |
      | job | running | none |
      | job | running | host_freeze |
      | job | running | runner_kill |
      | job | running | runner_freeze |
      | job | running | runner_slow |
      | job | running | stream_cut |
      | job | running | platform_down |
      | job | running | platform_slow |
      | job | running | lost_answer |
      | configuration | before | none |
      | configuration | before | host_kill |
      | configuration | before | host_freeze |
      | configuration | before | runner_kill |
      | configuration | before | runner_freeze |
      | configuration | before | runner_slow |
      | configuration | before | stream_cut |
      | configuration | before | platform_down |
      | configuration | before | platform_slow |
      | configuration | accepted | none |
      | configuration | accepted | host_kill |
      | configuration | accepted | host_freeze |
      | configuration | accepted | runner_kill |
      | configuration | accepted | runner_freeze |
      | configuration | accepted | runner_slow |
      | configuration | accepted | stream_cut |
      | configuration | accepted | platform_slow |
      | configuration | accepted | lost_answer |
      | roll_out | before | none |
      | roll_out | before | host_kill |
      | roll_out | before | host_freeze |
      | roll_out | before | runner_kill |
      | roll_out | before | runner_freeze |
      | roll_out | before | runner_slow |
      | roll_out | before | stream_cut |
      | roll_out | before | platform_down |
      | roll_out | before | platform_slow |
      | roll_out | before | lost_answer |
      | roll_out | accepted | none |
      | roll_out | accepted | host_freeze |
      | roll_out | accepted | runner_kill |
      | roll_out | accepted | runner_freeze |
      | roll_out | accepted | runner_slow |
      | roll_out | accepted | stream_cut |
      | roll_out | accepted | platform_down |
      | roll_out | accepted | platform_slow |
      | roll_out | accepted | lost_answer |
      | drain | before | none |
      | drain | before | host_kill |
      | drain | before | host_freeze |
      | drain | before | runner_kill |
      | drain | before | runner_freeze |
      | drain | before | runner_slow |
      | drain | before | stream_cut |
      | drain | before | platform_down |
      | drain | before | platform_slow |
      | drain | before | lost_answer |
      | drain | announced | host_kill |
      | drain | announced | host_freeze |
      | drain | announced | runner_kill |
      | drain | announced | runner_freeze |
      | drain | announced | runner_slow |
      | drain | announced | stream_cut |
      | drain | announced | platform_slow |
      | drain | announced | lost_answer |

  @matrix
  Scenario Outline: two faults with seed <seed>
    Given a running "small" fleet
    When two faults chosen with seed <seed> strike
    Then every promise held

    Examples:
      | seed |
      | 1 |
      | 2 |
      | 3 |
      | 4 |
      | 5 |
      | 6 |
      | 7 |
      | 8 |
      | 9 |
      | 10 |
      | 11 |
      | 12 |
      | 13 |
      | 14 |
      | 15 |
      | 16 |
      | 17 |
      | 18 |
      | 19 |
      | 20 |
