Feature: Items begin in the order in which they came, few of them at a time
  An item that has begun costs a task and more; one that waits costs its text alone.

  # Guards against a process that ends of the items that wait for runners
  Scenario: Items begin as others end, one job after the other
    Given the jobs "j1,j2" of 200 items each in the line of "llm"
    Then 128 items of "j1" and 0 of "j2" have begun
    And 272 items wait
    When 100 items end
    Then 200 items of "j1" and 28 of "j2" have begun
    When 300 items end
    Then 200 items of "j1" and 200 of "j2" have begun
    And 0 items wait

  # Guards against items of a service without runners that hold up all others
  Scenario: A line holds up no other one
    Given the jobs "j1" of 200 items each in the line of "llm"
    And the jobs "j2" of 50 items each in the line of "draw"
    Then 128 items of "j1" and 50 of "j2" have begun

  # Guards against places that are kept for a job that was cancelled
  Scenario Outline: A cancelled job leaves its line
    Given the jobs "j1,j2,j3" of 100 items each in the line of "llm"
    When the job "<cancelled>" is cancelled
    Then 100 items of "<first>" and 28 of "<second>" have begun

    Examples:
      | cancelled | first | second |
      | j1        | j2    | j3     |
      | j2        | j1    | j3     |
