Feature: Evidence of which requests crash runners
  Traits that crashes have in common block the requests that have them all; an answer clears them.

  Scenario: Equal requests that crashed three runners are refused, others are not
    Given no crashes
    When runner "r1" crashes under requests "x"
    And runner "r2" crashes under requests "x"
    Then a request "x" may run
    When runner "r3" crashes under requests "x"
    Then a request "x" is blocked
    And a request "y" may run

  Scenario: A part that crashes runners is refused whatever else the request holds
    Given no crashes
    When runner "r1" crashes under requests "sys,subj,bad,f1" while it answers "sys"
    And runner "r2" crashes under requests "sys,other,bad,f2" while it answers "sys"
    And runner "r3" crashes under requests "sys,subj,bad,f3" while it answers "sys"
    Then a request "sys,fresh,bad,f9" is blocked
    And a request "sys,subj,f9" may run
    And a request "sys,other,f9" may run

  Scenario: A part that goes with the deadly one is cleared by an answer, not by its absence
    Given no crashes
    When 3 runners crash under requests "subj,bad"
    Then a request "subj,bad" is blocked
    And a request "subj" may run
    When a request "subj" is answered
    Then the suspects are "bad:3"

  Scenario: Bystanders of a part that crashes runners are not refused
    Given no crashes
    When runner "r1" crashes under requests "bad,f1" and "near,g1"
    And runner "r2" crashes under requests "bad,f2" and "near,g2"
    And runner "r3" crashes under requests "bad,f3"
    And runner "r4" crashes under requests "bad,f4" and "near,g4"
    Then a request "near,g5" may run
    And a request "bad,f5" is blocked

  Scenario: Reports of several hosts on one runner are one crash
    Given no crashes
    When runner "r1" crashes under requests "bad,f1"
    And runner "r1" crashes under requests "bad,f2"
    And runner "r1" crashes under requests "bad,f3"
    Then a request "bad,f4" may run
    When 1.5 s go by
    And runner "r1" crashes under requests "bad,f5"
    And runner "r2" crashes under requests "bad,f6"
    Then a request "bad,f7" is blocked

  Scenario: Trials are let through at growing intervals, one at a time
    Given no crashes
    When 3 runners crash under requests "bad"
    And 2.1 s go by
    Then a request "bad" may run
    And a request "bad" is blocked
    When 1 runners crash under requests "bad"
    And 19 s go by
    Then a request "bad" is blocked
    When 2 s go by
    Then a request "bad" may run
    When 1 runners crash under requests "bad"
    And 299 s go by
    Then a request "bad" is blocked

  Scenario: The first trial comes soon if other requests crashed runners just then
    Given no crashes
    When runner "r1" crashes under requests "subj,f1"
    And runner "r2" crashes under requests "other,f2"
    And 2 runners crash under requests "subj"
    Then a request "subj,f5" is blocked
    When 0.6 s go by
    Then a request "subj,f5" may run
    And a request "subj,f6" is blocked
    When 1.2 s go by
    Then a request "subj,f6" is blocked
    When 0.9 s go by
    Then a request "subj,f6" may run
    When 1 runners crash under requests "subj"
    And 19 s go by
    Then a request "subj,f7" is blocked

  Scenario: The first trial waits if nothing else crashed runners just then
    Given no crashes
    When runner "r1" crashes under requests "other,f1"
    And 1.1 s go by
    And 3 runners crash under requests "subj"
    And 1.9 s go by
    Then a request "subj,f2" is blocked
    When 0.2 s go by
    Then a request "subj,f2" may run

  Scenario: A burst of accidents blocks few sound requests
    Then in 100 random runs with bursts of accidents fewer sound requests are blocked than with the same first pause in a burst as else

  Scenario: An answered trial ends the block
    Given no crashes
    When 3 runners crash under requests "unlucky"
    And 2.1 s go by
    Then a request "unlucky" may run
    When a request "unlucky" is answered
    Then a request "unlucky" may run
    And a request "unlucky" may run

  Scenario: Few crashes, spread over hours, say nothing
    Given no crashes
    When 2 runners crash under requests "slow"
    And 3700 s go by
    And 2 runners crash under requests "slow"
    Then a request "slow" may run

  Scenario: A suspect found elsewhere is blocked here, and its crashes count once
    Given no crashes
    When 4 runners crash under requests "bad"
    And another home adopts the suspects twice
    Then a request "bad" is blocked
    And the suspects are "bad:4"
    When 1 runners crash under requests "bad"
    Then the suspects are "bad:5"
    When the other home clears the suspects
    Then a request "bad" may run

  Scenario Outline: Random traffic with deadly parts on a moving home
    Then in 40 random runs with <n_deadly> deadly parts at most 8 requests of each part run
    And each sound part is served

    Examples:
      | n_deadly |
      | 1        |
      | 2        |

  Scenario Outline: Crashes, answers and news in any order keep what <machine> promise
    Then 150 random runs of "<machine>" find no fault

    Examples:
      | machine        |
      | shared runs    |
      | exclusive runs |
      | verdicts       |

  Scenario Outline: An injected fault in the decision on crashes is found
    Then 150 random runs of "<fault>" find a fault

    Examples:
      | fault                                 |
      | answers clear nothing                 |
      | a shared run counts as a lone one     |
      | a conviction takes a third crash      |
      | a run beside others convicts          |
      | late news lifts a conviction          |
      | progress is seen where there is none  |
      | progress is not seen                  |
