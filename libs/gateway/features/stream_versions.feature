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

  Scenario: A software version gets its first stream only once the store names it
    Given engines "e1" of version "v1" with 5 events
    And the store names "v1" first
    And the store accepts no writes for 1 s while streams are requested
    When engines "a1" of version "v2" join at once
    And streams are requested until both versions have had one
    Then the store named version "v2" before its first stream

  Scenario: A software version whose runners have left is dropped from the store
    Given a timeout of 0.5 s on all routes
    And engines "e1" of version "v1" with 5 events
    And engines "e2" of version "v2" with 5 events
    When runner "e1" leaves
    Then the store names "v2" alone within 15 s
