Feature: Quarantine of requests that crash runners
  A poison request is convicted at its second crash; no other request is refused.

  Scenario: The poison request is found among several
    Given a runner that ran "a,b,c,d" and crashed
    When "a,b,d" run alone and complete
    And "c" runs alone and its runner crashes
    Then the verdicts are "a:clear b:clear c:convicted d:clear"

  Scenario: A request that shared its runner is never convicted
    Given a runner that ran "a,b" and crashed
    When a runner that ran "a,c" crashes
    And a runner that ran "a,d" crashes
    Then the verdicts are "a:suspect b:suspect c:suspect d:suspect"

  Scenario: A request that completed before does not become a suspect
    Given requests "a" that completed
    When a runner that ran "a,b" crashes
    Then the verdicts are "a:clear b:suspect"

  Scenario: A lone run that got further than the run cut before does not convict
    Given a runner that crashed when "a" had 30 tokens
    When "a" runs alone and its runner crashes after 45 tokens
    Then the verdicts are "a:suspect"
    When "a" runs alone and its runner crashes after 47 tokens
    Then the verdicts are "a:convicted"

  Scenario: Another host knows how far the run cut before had got
    Given a runner that crashed when "a" had 30 tokens
    And another host that merged the news
    When "a" runs alone there and its runner crashes after 45 tokens
    Then the verdicts there are "a:suspect"

  Scenario: A lone run convicts where it is not known how far an earlier one had got
    Given a runner that ran "a" and crashed
    When "a" runs alone and its runner crashes after 45 tokens
    Then the verdicts are "a:convicted"

  Scenario: A conviction reaches other hosts and is not cleared by later news
    Given a runner that ran "a" and crashed
    When "a" runs alone and its runner crashes
    And another host merges the news, and then news that "a" is clear
    Then the verdicts there are "a:convicted"

  Scenario: Verdicts expire and are bounded
    Given a runner that ran "a" and crashed
    When 61 s elapse
    And 5000 further requests become suspects
    Then the verdicts are "a:clear"
    And at most 4096 suspects are kept

  Scenario: A suspect has exclusive access to its runner
    Given requests "a,b" at a runner
    When "c" asks for exclusive access
    And "d" asks for access
    Then "a,b" are at the runner
    When "a,b" leave
    Then "c" are at the runner
    When "c" leave
    Then "d" are at the runner
