Feature: Admission to one runner
  The home of a runner decides what is sent to it, when, and what gives way.

  Scenario: Online waits for a slot and not behind batch
    Given a gate of 4 slots
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

  Scenario: Preempted batch goes on before newer batch
    Given a gate of 2 slots
    When batch requests "x1,x2,x3" arrive
    And online requests "a" arrive
    Then "x1,x2,a" are admitted
    And "x2,x1" are preempted
    When "x1" waits again
    And 20 s pass
    And "a" ends
    Then "x1,x3" are admitted

  Scenario: A slot is kept for bursts while online requests come
    Given a gate of 4 slots
    When online requests "a" arrive
    And batch requests "x1,x2,x3,x4" arrive
    Then "a,x1,x2" are admitted
    When "a" ends
    And 11 s pass
    And batch requests "x5" arrive
    Then "x3,x4" are admitted

  Scenario: Workspaces share slots by their shares
    Given a gate of 1 slots
    When online requests "a0" arrive
    And 20 online requests of "clubs" with share 1 arrive
    And 20 online requests of "carritos" with share 3 arrive
    And 24 requests end one by one
    Then between 5 and 7 of "clubs" were admitted
    And between 17 and 19 of "carritos" were admitted

  Scenario: A workspace can't fill the queue against others
    Given a gate of 1 slots
    When 100 online requests of "clubs" with share 1 arrive
    And online requests "a" arrive
    Then 36 are refused as "overloaded", none of them "a"

  Scenario: A request that would end past its deadline is refused at once
    Given a gate of 1 slots
    When online requests "a" arrive
    And 1 s pass
    And "a" ends
    And online requests "b,c,d" arrive, due in 2.5 s
    Then "d" are refused as "overloaded"
    And each refusal says when to try again

  Scenario: A request given up by its caller leaves no trace
    Given a gate of 1 slots
    When online requests "a,b,c" arrive
    And "b" ends
    And "a" ends
    Then "a,c" are admitted

  Scenario: A host that is no longer the home takes no batch and hands waiting on
    Given a gate of 4 slots
    When online requests "a,b,c,d,e" arrive
    And batch requests "x" arrive
    And the runner gets another home
    Then "e,x" are refused as "not_home"
    When "a" ends
    And "b" ends
    And online requests "f" arrive
    And "c" ends
    Then "a,b,c,d,f" are admitted

  Scenario: What the runner reports above this gate's own work keeps its slots
    Given a gate of 4 slots
    When online requests "a" arrive
    And the runner reports 4 requests
    And online requests "b" arrive
    Then "a" are admitted
    When the runner reports 2 requests
    Then "b" are admitted
