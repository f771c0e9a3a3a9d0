Feature: The command
  Operators and callers use one command, whose exit codes tell what happened.

  Scenario: A text with faults is refused with every finding
    Given a file "text.yaml" holding
      """
      services:
        caddie-llm:
          kind: engine
          modle: caddie
          min_runners: many
      workspaces: {}
      """
    When the command "check {text.yaml}" is run
    Then the exit code is 3
    And the errors hold "text.yaml:4: services.caddie-llm.modle: unknown key (did you mean 'model'?)"
    And the errors hold "text.yaml:5: services.caddie-llm.min_runners: expected a number"

  Scenario: A name that chooses behaviour must be registered
    Given a file "text.yaml" holding
      """
      services: {}
      workspaces: {}
      batch:
        meter: token
      """
    When the command "check {text.yaml}" is run
    Then the exit code is 3
    And the errors hold "text.yaml:4: batch.meter: no usage meter is called 'token' (known: busy_seconds, requests, tokens)"

  Scenario Outline: The examples have no findings
    When the command "check examples/<name>/fleet.yaml" is run
    Then the exit code is 0
    When the command "settings --settings examples/<name>/host.yaml" is run
    Then the exit code is 0

    Examples:
      | name     |
      | lima     |
      | mu-north |

  Scenario: Settings are shown with their defaults and origin
    Given a file "host.yaml" holding
      """
      host_id: a-1
      region: lima
      data_centre: lima-1
      caller: 127.0.0.1:7001
      peer: 127.0.0.1:7002
      probe: 127.0.0.1:7003
      platform: 127.0.0.1:7004
      """
    When the command "settings --settings {host.yaml}" is run
    Then the exit code is 0
    And the output holds "127.0.0.1:7001"
    And the output holds "log_level"

  Scenario: A host that is not there is told with what to do
    When the command "addresses --host 127.0.0.1:1" is run
    Then the exit code is 5
    And the errors hold "is the host running"

  Scenario: From a text to an answer, a result and a dump
    Given a fleet "small" without a text
    And a file "items.jsonl" holding
      """
      {"prompt": "faults of cart 1", "max_tokens": 4}
      {"prompt": "faults of cart 2", "max_tokens": 4}
      """
    When the command "apply {fleet.yaml} --host {host} --wait --json" is run
    Then the exit code is 0
    And the output holds ""in_force": true"
    When the command "apply {fleet.yaml} --host {host} --expect 0" is run
    Then the exit code is 4
    And the errors hold "conflict: the text is at revision"
    When the command "status --host {host}" is run
    Then the output holds "in force at 3 of 3 hosts"
    And the engines are ready
    When the command "generate caddie-llm hello --max-tokens 3 --host {host} --key-file {key}" is run
    Then the exit code is 0
    And the output holds the 3 tokens of "hello"
    When the command "call fleet-api /battery/7 --body seven --host {host} --key-file {key}" is run
    Then the output holds ""body":"seven""
    When the command "submit caddie-llm {items.jsonl} --key night --wait --host {host} --key-file {key} --json" is run
    Then the exit code is 0
    When the results of that job are printed
    Then the output has 2 lines
    When the command "dump --section host --host {host}" is run
    Then the output holds "configuration_revision"
    When the command "generate caddie-llm hello --host {host}" is run
    Then the exit code is 1
    And the errors hold "unknown_key"

  Scenario: The story of a request from the logs of several hosts
    Given a file "a.log" holding
      """
      {"asctime": "2026-04-10 10:00:01,000", "message": "runner silent", "process": "a", "runner": "r1"}
      {"asctime": "2026-04-10 10:00:01,500", "message": "request attempt failed", "process": "a", "request": "q1", "runner": "r1", "reason": "silent"}
      {"asctime": "2026-04-10 10:00:01,600", "message": "request answered", "process": "a", "request": "q2", "runner": "r1"}
      """
    And a file "b.log" holding
      """
      12.5 b {"asctime": "2026-04-10 10:00:01,900", "message": "request answered", "process": "b", "request": "q1", "status": 200}
      not a line
      """
    When the command "explain q1 {b.log} {a.log}" is run
    Then the exit code is 0
    And the output holds "a  runner silent  runner=r1"
    And the output holds "a  request attempt failed  request=q1 runner=r1 reason=silent"
    And the output holds "b  request answered  request=q1 status=200"
    When the command "explain q9 {a.log}" is run
    Then the exit code is 1
