Feature: A host out of step while runners of another version join
  A stream that began elsewhere does not go on at another version there.

  Background:
    Given a fleet of 3 hosts on the platform
    And the store names version "v1" alone from the start
    And engines "e1" of version "v1" with 60 events

  Scenario Outline: A host out of step joins no stream of a version that it has missed
    Given host "h1" <fault>
    And runner "e1" has no room
    And unknown to host "h1" engines "a1" of version "v2" join
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And the stream's runner breaks it
    And runner "e1" has room again
    And the caller takes the stream up at "h1" as "q2"
    Then the caller has events of one version at most
    And the take-up is refused as not run and reached no runner

    Examples:
      | fault                                            |
      | learns of no further change                      |
      | learns of nothing and reaches no host            |
      | learns of nothing and reaches no store           |
      | learns of nothing and reaches no host or store   |

  Scenario: A host out of step trusts no older record than the one it can't decode
    Given host "h1" learns of nothing and reaches no host
    And runner "e1" has no room
    And unknown to host "h1" engines "a1" of version "v2" join
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And the stream's runner breaks it
    And runner "e1" has room again
    And another writer leaves an odd record of the versions
    And the caller takes the stream up at "h1" as "q2"
    Then the caller has events of one version at most
    And the take-up is refused as not run and reached no runner

  Scenario: A host that stood still while its store read was answered joins no versions
    Given host "h1" learns of nothing and reaches no host
    And host "h1" has a read of the versions under way
    And runner "e1" has no room
    And unknown to host "h1" engines "a1" of version "v2" join
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And the stream's runner breaks it
    And runner "e1" has room again
    And the caller takes the stream up at "h1" as "q2" while that read ends
    Then the caller has events of one version at most
    And the take-up is refused as not run and reached no runner

  Scenario: A version is announced though another writer has left an odd record
    Given another writer leaves an odd record of the versions
    And engines "a1" of version "v2" with 60 events
    Then the store names version "v2" beside unknown ones
