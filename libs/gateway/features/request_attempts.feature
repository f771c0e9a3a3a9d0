Feature: What holds when the runner of a request falls silent

  Scenario Outline: A diagnosis counts only while the runner has not been heard again
    Given a request at a silent runner, which is diagnosed
    When <what happens> before the diagnosis ends
    Then the runner <accused> accused, and the slot <freed> given back if its path is cut

    Examples:
      | what happens           | accused | freed  |
      | nothing is heard       | is      | is     |
      | the runner is heard    | is not  | is not |

  Scenario Outline: A silent runner is left only when another attempt may follow
    Given a request of a route with <max_attempts> attempts, after <what>
    Then its runner <may> be left with <left_s> s left

    Examples:
      | max_attempts | what                          | may     | left_s |
      | 2            | no failure                    | may     | 1.0    |
      | 2            | no failure                    | may not | 0.01   |
      | 1            | no failure                    | may not | 1.0    |
      | 2            | 1 run that failed             | may not | 1.0    |
      | 20           | 12 runners that did not begin | may not | 1.0    |
