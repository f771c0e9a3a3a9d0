Feature: Processes of runners that are not listed yet
  A stream or an item begins only at the process that its host's entry lists.

  Background:
    Given a fleet of 3 hosts on the platform
    And engines "e1,e2" of version "v1" with 60 events

  Scenario: A stream does not begin at a process whose entry is late
    Given runner "e2" has no room
    And runner "e1" is back at version "v2" while its entry is late
    When a caller requests a stream of "/alert/1" at "h0" as "q1"
    Then the stream is refused as not run and reached no runner

  Scenario: A stream is not begun unlisted and then taken up by the version record
    Given a timeout of 2 s on all routes
    And the store names "v1" alone within 15 s
    And runner "e2" has no room
    And runner "e1" is back at version "v2" while its entry is late
    When a caller begins a stream at "h0", which is killed, and goes on at "h1"
    Then the caller has events of one version at most

  Scenario: A stream does not go on after a process that ended before it was listed
    Given runner "e2" has no room
    And runner "e1" is back at version "v2" while its entry is late
    When a caller begins a stream at "h0" and the process of runner "e1" ends
    Then the caller has events of one version at most

  Scenario: An item is not begun by a process that is not listed yet
    Given runner "e2" has no room
    And runner "e1" is back at version "v2" while its entry is late
    When the job "j1" of 1 items is submitted at "h0"
    And 0.5 s passes and runner "e2" has room again
    Then the job "j1" has 1 results, each of version "v1" and complete

  Scenario: An item that an unlisted process had to begin goes on nowhere
    Given runner "e2" has no room
    And runner "e1" is back at version "v2" while its entry is late
    When the job "j1" of 1 items is submitted at "h0"
    And an item has events
    And the process of runner "e1" ends, and runner "e2" has room
    Then the job "j1" has 1 results, each of version "v1" and complete

  Scenario: A runner whose entry is late is asked for its process once, not for each stream
    Given runner "e1" is back at version "v2" while its entry is late
    When 8 streams of "/alert/1" are requested one after another at "h0"
    Then all answers hold events of version "v1" alone
    And runner "e1" told its process 3 times at most, beside polls by the home
