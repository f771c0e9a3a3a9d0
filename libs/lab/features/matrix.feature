Feature: Fault matrix
  Each fault is injected at each step of each flow; the guarantees hold in each cell.
  The quick cells run with all other features, the others by `make matrix`.

  @quick
  Scenario Outline: quick <fault> at <step> of <flow>
    Given the matrix cell with fault "<fault>" at step "<step>" of flow "<flow>"
    And a running "small" fleet for the cell
    When the flow runs with the faults injected
    Then every guarantee holds

    Examples:
      | flow | step | fault |
      | call | before | runner_freeze |
      | call | before | runner_connections_silent |
      | call | streaming | host_kill |
      | call | streaming | runner_kill |
      | call | streaming | stream_cut |
      | call | streaming | peer_path_silent |
      | pickup | sent | host_kill |
      | pickup | sent | peer_cut_back |
      | job | before | lost_answer |
      | job | accepted | platform_down |
      | job | running | host_kill |
      | job | running | host_freeze |
      | configuration | before | lost_answer |
      | configuration | accepted | platform_down |
      | configuration | accepted | peer_path_silent |
      | roll_out | accepted | host_kill |
      | drain | announced | none |
      | drain | announced | platform_down |

  @matrix
  Scenario Outline: long <fault> at <step> of <flow>
    Given the matrix cell with fault "<fault>" at step "<step>" of flow "<flow>"
    And a running "small" fleet for the cell
    When the flow runs with the faults injected
    Then every guarantee holds

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
      | call | before | runner_path_silent |
      | call | before | peer_path_silent |
      | call | before | peer_connections_silent |
      | call | before | peer_cut_forward |
      | call | before | peer_cut_back |
      | call | streaming | none |
      | call | streaming | host_freeze |
      | call | streaming | runner_freeze |
      | call | streaming | runner_slow |
      | call | streaming | platform_down |
      | call | streaming | platform_slow |
      | call | streaming | lost_answer |
      | call | streaming | runner_path_silent |
      | call | streaming | runner_connections_silent |
      | call | streaming | peer_connections_silent |
      | call | streaming | peer_cut_forward |
      | call | streaming | peer_cut_back |
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
      | pickup | before | runner_path_silent |
      | pickup | before | runner_connections_silent |
      | pickup | before | peer_path_silent |
      | pickup | before | peer_connections_silent |
      | pickup | before | peer_cut_forward |
      | pickup | before | peer_cut_back |
      | pickup | sent | none |
      | pickup | sent | host_freeze |
      | pickup | sent | runner_kill |
      | pickup | sent | runner_freeze |
      | pickup | sent | runner_slow |
      | pickup | sent | stream_cut |
      | pickup | sent | platform_down |
      | pickup | sent | platform_slow |
      | pickup | sent | lost_answer |
      | pickup | sent | runner_path_silent |
      | pickup | sent | runner_connections_silent |
      | pickup | sent | peer_path_silent |
      | pickup | sent | peer_connections_silent |
      | pickup | sent | peer_cut_forward |
      | job | before | none |
      | job | before | host_kill |
      | job | before | host_freeze |
      | job | before | runner_kill |
      | job | before | runner_freeze |
      | job | before | runner_slow |
      | job | before | stream_cut |
      | job | before | platform_down |
      | job | before | platform_slow |
      | job | before | runner_path_silent |
      | job | before | runner_connections_silent |
      | job | before | peer_path_silent |
      | job | before | peer_connections_silent |
      | job | before | peer_cut_forward |
      | job | before | peer_cut_back |
      | job | accepted | none |
      | job | accepted | host_kill |
      | job | accepted | host_freeze |
      | job | accepted | runner_kill |
      | job | accepted | runner_freeze |
      | job | accepted | runner_slow |
      | job | accepted | stream_cut |
      | job | accepted | platform_slow |
      | job | accepted | lost_answer |
      | job | accepted | runner_path_silent |
      | job | accepted | runner_connections_silent |
      | job | accepted | peer_path_silent |
      | job | accepted | peer_connections_silent |
      | job | accepted | peer_cut_forward |
      | job | accepted | peer_cut_back |
      | job | running | none |
      | job | running | runner_kill |
      | job | running | runner_freeze |
      | job | running | runner_slow |
      | job | running | stream_cut |
      | job | running | platform_down |
      | job | running | platform_slow |
      | job | running | lost_answer |
      | job | running | runner_path_silent |
      | job | running | runner_connections_silent |
      | job | running | peer_path_silent |
      | job | running | peer_connections_silent |
      | job | running | peer_cut_forward |
      | job | running | peer_cut_back |
      | configuration | before | none |
      | configuration | before | host_kill |
      | configuration | before | host_freeze |
      | configuration | before | runner_kill |
      | configuration | before | runner_freeze |
      | configuration | before | runner_slow |
      | configuration | before | stream_cut |
      | configuration | before | platform_down |
      | configuration | before | platform_slow |
      | configuration | before | runner_path_silent |
      | configuration | before | runner_connections_silent |
      | configuration | before | peer_path_silent |
      | configuration | before | peer_connections_silent |
      | configuration | before | peer_cut_forward |
      | configuration | before | peer_cut_back |
      | configuration | accepted | none |
      | configuration | accepted | host_kill |
      | configuration | accepted | host_freeze |
      | configuration | accepted | runner_kill |
      | configuration | accepted | runner_freeze |
      | configuration | accepted | runner_slow |
      | configuration | accepted | stream_cut |
      | configuration | accepted | platform_slow |
      | configuration | accepted | lost_answer |
      | configuration | accepted | runner_path_silent |
      | configuration | accepted | runner_connections_silent |
      | configuration | accepted | peer_connections_silent |
      | configuration | accepted | peer_cut_forward |
      | configuration | accepted | peer_cut_back |
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
      | roll_out | before | runner_path_silent |
      | roll_out | before | runner_connections_silent |
      | roll_out | before | peer_path_silent |
      | roll_out | before | peer_connections_silent |
      | roll_out | before | peer_cut_forward |
      | roll_out | before | peer_cut_back |
      | roll_out | accepted | none |
      | roll_out | accepted | host_freeze |
      | roll_out | accepted | runner_kill |
      | roll_out | accepted | runner_freeze |
      | roll_out | accepted | runner_slow |
      | roll_out | accepted | stream_cut |
      | roll_out | accepted | platform_down |
      | roll_out | accepted | platform_slow |
      | roll_out | accepted | lost_answer |
      | roll_out | accepted | runner_path_silent |
      | roll_out | accepted | runner_connections_silent |
      | roll_out | accepted | peer_path_silent |
      | roll_out | accepted | peer_connections_silent |
      | roll_out | accepted | peer_cut_forward |
      | roll_out | accepted | peer_cut_back |
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
      | drain | before | runner_path_silent |
      | drain | before | runner_connections_silent |
      | drain | before | peer_path_silent |
      | drain | before | peer_connections_silent |
      | drain | before | peer_cut_forward |
      | drain | before | peer_cut_back |
      | drain | announced | host_kill |
      | drain | announced | host_freeze |
      | drain | announced | runner_kill |
      | drain | announced | runner_freeze |
      | drain | announced | runner_slow |
      | drain | announced | stream_cut |
      | drain | announced | platform_slow |
      | drain | announced | lost_answer |
      | drain | announced | runner_path_silent |
      | drain | announced | runner_connections_silent |
      | drain | announced | peer_path_silent |
      | drain | announced | peer_connections_silent |
      | drain | announced | peer_cut_forward |
      | drain | announced | peer_cut_back |

  @matrix @double
  Scenario Outline: two faults with seed <seed>
    Given the matrix cell with two faults chosen by seed <seed>
    And a running "small" fleet for the cell
    When the flow runs with the faults injected
    Then every guarantee holds

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
