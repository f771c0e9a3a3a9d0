Feature: Jobs whose host is missing are taken over
  The first candidate takes a job over; if it does not, the next ones do.

  Scenario: Only the first candidate takes over a job at first
    Given the candidates "a,b,c" for a job of host "x"
    When host "x" is missing for 1.2 s in every view
    Then "a" takes the job over

  Scenario: A job whose first candidate sees its host alive is still taken over
    Given the candidates "a,b,c" for a job of host "x"
    When host "x" is missing for 4 s in every view but that of "a"
    Then "a,b" do not both rest

  Scenario: A host that comes back in time keeps its job
    Given the candidates "a,b,c" for a job of host "x"
    When host "x" is missing for 0.8 s in every view
    And host "x" is back
    And host "x" is missing for 0.8 s in every view
    Then nobody takes the job over

  Scenario: Whatever hosts see, a missing host's job is taken over in bounded time
    Then in 300 random runs a job is owed by a live host within 12 s of the last change
