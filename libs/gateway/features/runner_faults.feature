Feature: Which failures count against a runner
  A failure that may be the path's is diagnosed before the runner is accused.

  Scenario Outline: A runner is accused unless its path has failed
    Given a runner that is diagnosed as "<verdict>"
    When a request to it fails for "<reason>"
    Then the runner <accused> accused, and the request's slot <freed> given back

    Examples:
      | reason        | verdict  | accused | freed  |
      | silent        | lives    | is      | is not |
      | silent        | silent   | is      | is not |
      | stream_cut    | ended    | is      | is not |
      | silent        | path_cut | is not  | is     |
      | no_answer     | path_cut | is not  | is     |
      | no_report     | path_cut | is not  | is     |
      | silent        | unknown  | is not  | is not |
      | foreign_event | path_cut | is      | is not |

  Scenario: A host beside others that leave and do not answer takes no cut path for a crash
    Given a fleet of 1 hosts on the platform
    And engines "e1,e2" that can stand still
    And the host "h0" knows another one that leaves and does not answer
    When all engines refuse the connections of "h0"
    Then "h0" diagnoses the engine "e1" as "unknown"

  Scenario: A host that has no others judges alone
    Given a fleet of 1 hosts on the platform
    And engines "e1,e2" that can stand still
    When all engines refuse the connections of "h0"
    Then "h0" diagnoses the engine "e1" as "ended"
