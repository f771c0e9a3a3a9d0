Feature: Runners that have said that they leave
  What a runner says in an answer holds for its process, not for its id.

  Background:
    Given hosts whose clocks differ from those of runners by up to 5 s
    And leaving runners may be used for 2 s if all leave

  Scenario: A runner that leaves is not used while another stays
    Given runners "a,b" that started at 100 s
    When runner "a" says at 200 s that it leaves
    Then at 200 s "b" may be used

  Scenario: When all leave, they are used until their time is over
    Given runners "a,b" that started at 100 s
    When runner "a" says at 200 s that it leaves
    And runner "b" says at 201 s that it leaves
    And runner "a" says at 201.5 s that it leaves
    Then at 201.5 s "a,b" may be used
    And at 202.5 s "b" may be used
    And at 203 s none may be used

  Scenario: Another process of the same runner is used
    Given runners "a,b" that started at 100 s
    When runner "a" says at 200 s that it leaves
    And the entry tells that runner "a" started at 200.5 s
    Then at 201 s "a,b" may be used
    When runner "a" says at 300 s that it leaves
    Then at 300 s "b" may be used

  Scenario: A runner that tells no start is used again when its entry is gone and back
    Given runners "a,b" that started at 0 s
    When runner "a" says at 200 s that it leaves
    Then at 201 s "b" may be used
    When the entry of runner "a" is gone
    Then at 210 s "a,b" may be used

  Scenario: A runner that tells its start is not used for an entry that is gone and back
    Given runners "a,b" that started at 100 s
    When runner "a" says at 200 s that it leaves
    And the entry of runner "a" is gone
    Then at 210 s "b" may be used

  Scenario: What a process said before its entry came holds for it
    Given runners "a,b" that started at 100 s
    When runner "a" says at 220 s that it leaves
    And the entry tells that runner "a" started at 200 s
    Then at 240 s "b" may be used

  Scenario: A host that another one tells uses the runner no longer than that one
    Given runners "a" that started at 100 s
    When runner "a" says at 200 s that it leaves
    And another host is told so at 201 s
    Then at 201.5 s "a" may be used there
    And at 202 s none may be used there

  Scenario: Another host that tells what a former process said changes nothing
    Given runners "a,b" that started at 100 s
    When runner "a" says at 200 s that it leaves
    And the entry at another host tells that runner "a" started at 200.5 s
    And another host is told so at 201 s
    Then at 201 s "a,b" may be used there

  Scenario: Random orders of answers, entries and restarts
    Then in random histories no process that said so is used, and each other one is
