Feature: Logs tell the silence of runners from other causes of cut and late answers
  The log and the metrics of hosts lead from the id of a request to the cause.

  Background:
    Given a fleet of 2 hosts on the platform
    And the logs of all hosts are kept

  Scenario: A stream that its runner ends beside a configuration change
    Given engines "e1,e2"
    And every engine breaks streams after event 4
    And the operator sets the timeout of all routes to 4 s as version 2
    When a caller requests "/ask/1" at "h0" as "q1"
    Then the log of "q1" has in turn:
      | message                 | reason     |
      | request sent            |            |
      | request attempt failed  | stream_cut |
      | request stream given up | stream_cut |
    And the log of "q1" has no "request runner silent"
    And "configuration in force" was logged with version 2

  Scenario: A request that the home refuses though no host has a slot
    Given engines "e1"
    When a caller requests "/ask/1" at "h0" as "q0"
    And the home counts 2 requests of unknown hosts at "e1"
    And a request for "/ask/" comes with 0.8 s left
    Then the log of "q9" has in turn:
      | message         | reason     |
      | request refused | overloaded |
    And "requests refused by home" tells that all 2 slots are used by unknown hosts
    And no host logged "request runner silent"
