Feature: Admission to one runner
  The home of a runner decides which requests it runs, when, and which are preempted.

  Scenario: Online requests preempt batch requests
    Given an admission controller with 4 slots
    When batch requests "x1,x2,x3,x4,x5" arrive
    Then "x1,x2,x3,x4" are admitted
    When online requests "a" arrive
    Then "a" are admitted
    And "x4,x3" are preempted
    When online requests "b,c,d,e" arrive
    Then "b,c,d" are admitted
    And "x2,x1" are preempted
    When "a" ends
    Then "e" are admitted

  Scenario: Preempted batch requests are resumed before newer ones
    Given an admission controller with 2 slots
    When batch requests "x1,x2,x3" arrive
    And online requests "a" arrive
    Then "x1,x2,a" are admitted
    And "x2,x1" are preempted
    When "x1" is requeued
    And 20 s pass
    And "a" ends
    Then "x1,x3" are admitted

  Scenario: A slot is reserved for bursts while online requests arrive
    Given an admission controller with 4 slots
    When online requests "a" arrive
    And batch requests "x1,x2,x3,x4" arrive
    Then "a,x1,x2" are admitted
    When "a" ends
    And 11 s pass
    And batch requests "x5" arrive
    Then "x3,x4" are admitted

  Scenario: Workspaces get slots in proportion to their shares
    Given an admission controller with 1 slots
    When online requests "a0" arrive
    And 20 online requests of "clubs" with share 1 arrive
    And 20 online requests of "carritos" with share 3 arrive
    And 24 requests end one by one
    Then between 5 and 7 of "clubs" were admitted
    And between 17 and 19 of "carritos" were admitted

  Scenario: One workspace cannot starve others by filling the queue
    Given an admission controller with 1 slots
    When 100 online requests of "clubs" with share 1 arrive
    And online requests "a" arrive
    Then 36 are refused as "overloaded", none of them "a"

  Scenario: A request predicted to miss its deadline is refused at once
    Given an admission controller with 1 slots
    When online requests "a" arrive
    And 1 s pass
    And "a" ends
    And online requests "b,c,d" arrive with a deadline in 2.5 s
    Then "d" are refused as "overloaded"
    And each refusal has a retry delay

  Scenario: A request cancelled while it waits is removed from the queue
    Given an admission controller with 1 slots
    When online requests "a,b,c" arrive
    And "b" ends
    And "a" ends
    Then "a,c" are admitted

  Scenario: A former home refuses batch and waiting requests
    Given an admission controller with 4 slots
    When online requests "a,b,c,d,e" arrive
    And batch requests "x" arrive
    And the host stops being the home
    Then "e,x" are refused as "not_home"
    When "a" ends
    And "b" ends
    And online requests "f" arrive
    And "c" ends
    Then "a,b,c,d,f" are admitted

  Scenario: Requests that the runner reports from elsewhere occupy slots
    Given an admission controller with 4 slots
    When online requests "a" arrive
    And the runner reports 4 requests
    And online requests "b" arrive
    Then "a" are admitted
    When the runner reports 2 requests
    Then "b" are admitted
