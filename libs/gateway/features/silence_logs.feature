Feature: Logs tell the silence of runners from other causes of cut and late answers
  The log and the metrics of hosts lead from the id of a request to the cause.

  Background:
    Given a fleet of 2 hosts on the platform
    And the logs of all hosts are kept

  Scenario: The silence of all runners, which keep their requests
    Given engines "e1,e2" of 20 events that can stand still
    When all stand still for 1.2 s at "event 4" of 4 requests for "/alert/" with 4 s left
    Then the log of "q0" has in turn:
      | message                      | reason     |
      | request sent                 |            |
      | request runner silent        |            |
      | request runner heard again   |            |
      | request answered             |            |
    And the log of "q0" has no "request attempt failed"
    And "request runner silent" names the runners "e1,e2"
    And the hosts counted 4 silences of runners that may be left

  Scenario: The silence of one runner, which is left
    Given engines "e1,e2" of 20 events that can stand still
    When one stands still for good at "event 4" of 1 request for "/alert/" with 4 s left
    Then the log of "q0" has in turn:
      | message                | reason |
      | request sent           |        |
      | request runner silent  |        |
      | request attempt failed | silent |
      | request sent           |        |
      | request resumed        |        |
      | request answered       |        |
    And the log of "q0" has no "request runner heard again"
    And "request runner silent" names 1 runner

  Scenario: The silence of all runners until the deadline
    Given engines "e1,e2" of 20 events that can stand still
    When all stand still for good at "event 4" of 4 requests for "/alert/" with 1.5 s left
    Then the log of "q0" has in turn:
      | message                      | reason     |
      | request sent                 |            |
      | request runner silent        |            |
      | request no other runner free | overloaded |
      | request stream given up      |            |
    And the log of "q0" has no "request runner heard again"
    And "request runner silent" names the runners "e1,e2"

  Scenario: The silence of a runner that may not be left
    Given engines "e1,e2" of 20 events that can stand still
    When all stand still for 1.2 s at "event 4" of 4 requests for "/ask/" with 4 s left
    Then the log of "q0" has in turn:
      | message                    | reason |
      | request sent               |        |
      | request runner silent      |        |
      | request runner heard again |        |
      | request answered           |        |
    And the log of "q0" has no "request no other runner free"
    And the hosts counted 4 silences of runners that may not be left

  Scenario: A request that is refused while all runners are silent with all slots held
    Given engines "e1,e2" of 20 events that can stand still
    When all stand still for 1.2 s at "event 4" of 4 requests for "/alert/" with 1.8 s left, and one for "/ask/" comes 0.1 s later
    Then the log of "q9" has in turn:
      | message         | reason     |
      | request refused | overloaded |
    And "online requests wait for slots" tells that all 4 slots are used
    And "request runner silent" names the runners "e1,e2"

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
