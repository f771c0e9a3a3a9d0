Feature: Software versions that are not announced yet
  No host begins a stream at a version that the store does not name.

  Background:
    Given a fleet of 3 hosts on the platform
    And engines "e1,e2" of version "v1" with 60 events

  Scenario: A version that the store does not name begins no stream, whatever its home knows
    Given a timeout of 2 s on all routes
    And the store names "v1" alone within 15 s
    And runner "e2" has no room
    And the home of the engines learns of no further entry
    And runner "e1" is back at version "v2" and listed
    When a caller requests a stream of "/alert/1" at a host that is not the home as "q1"
    Then the stream is refused as not run and reached no runner
    And the store names "v1" alone still
