Feature: Software versions of streams
  A stream and an item hold events of one software version only.

  Background:
    Given a fleet of 2 hosts on the platform

  Scenario: A broken stream does not go on at another software version
    Given engines "e1" of version "v1" with 60 events
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And engines "a1" of version "v2" join
    And the stream's runner breaks it
    Then the caller gets events of version "v1" alone, incomplete

  Scenario: A broken stream goes on at another runner of its version beside a newer one
    Given engines "e1,e2" of version "v1" with 60 events
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And engines "a1" of version "v2" join
    And the stream's runner breaks it
    Then the caller gets events of version "v1" alone, complete

  Scenario: A stream of a runner that states no version goes on nowhere
    Given engines "e1,e2" of version "" with 60 events
    When a caller begins a stream of "/alert/1" at "h0" as "q1"
    And the stream's runner breaks it
    Then the caller gets events of no version, incomplete
