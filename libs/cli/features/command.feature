Feature: Command-line interface
  Operators and callers use one command, whose exit code gives the outcome.

  Scenario: An invalid configuration is rejected with every finding
    Given a file "fleet.yaml" containing
      """
      services:
        caddie-llm:
          kind: engine
          modle: caddie
          min_runners: many
      workspaces: {}
      """
    When the command "check {fleet.yaml}" is run
    Then the exit code is 3
    And standard error contains "fleet.yaml:4: services.caddie-llm.modle: unknown key (did you mean 'model'?)"
    And standard error contains "fleet.yaml:5: services.caddie-llm.min_runners: expected a number"

  Scenario: An unregistered usage meter is rejected and the known ones are listed
    Given a file "fleet.yaml" containing
      """
      services: {}
      workspaces: {}
      batch:
        meter: token
      """
    When the command "check {fleet.yaml}" is run
    Then the exit code is 3
    And standard error contains "fleet.yaml:4: batch.meter: no usage meter is called 'token' (known: busy_seconds, requests, tokens)"

  Scenario Outline: The example configurations and settings have no findings
    When the command "check examples/<name>/fleet.yaml" is run
    Then the exit code is 0
    When the command "settings --settings examples/<name>/host.yaml" is run
    Then the exit code is 0

    Examples:
      | name     |
      | lima     |
      | mu-north |

  Scenario: Settings are listed with their defaults and origins
    Given a file "host.yaml" containing
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
    And the output contains "127.0.0.1:7001"
    And the output contains "log_level"

  Scenario: An unreachable host is reported with a hint
    When the command "addresses --host 127.0.0.1:1" is run
    Then the exit code is 5
    And standard error contains "is the host running"

  Scenario: Apply a configuration, call services, run a batch job and dump a host
    Given a fleet "small" without a configuration
    And a file "items.jsonl" containing
      """
      {"prompt": "faults of cart 1", "max_tokens": 4}
      {"prompt": "faults of cart 2", "max_tokens": 4}
      """
    When the command "apply {fleet.yaml} --host {host} --wait --json" is run
    Then the exit code is 0
    And the output contains ""in_force": true"
    When the command "apply {fleet.yaml} --host {host} --expect 0" is run
    Then the exit code is 4
    And standard error contains "conflict: the configuration is at revision"
    When the command "status --host {host}" is run
    Then the output contains "active on 3 of 3 hosts"
    And the engines are ready
    When the command "generate caddie-llm hello --max-tokens 3 --host {host} --key-file {key}" is run
    Then the exit code is 0
    And the output is the 3 tokens of "hello"
    When the command "call fleet-api /battery/7 --body seven --host {host} --key-file {key}" is run
    Then the output contains ""body":"seven""
    When the command "submit caddie-llm {items.jsonl} --key night --wait --host {host} --key-file {key} --json" is run
    Then the exit code is 0
    When the results of that job are printed
    Then the output has 2 lines
    When the command "dump --section host --host {host}" is run
    Then the output contains "configuration_revision"
    When the command "generate caddie-llm hello --host {host}" is run
    Then the exit code is 1
    And standard error contains "unknown_key"

  Scenario: The wait for a configuration counts no host that is leaving
    Given a fleet that reports a host at revision 7 and a leaving one at revision 6
    And a file "next.yaml" containing
      """
      services: {}
      workspaces: {}
      """
    When the command "apply {next.yaml} --host {host} --expect 6 --wait --timeout-s 2" is run
    Then the exit code is 0

  Scenario: The timeline of a request is merged from the logs of several hosts
    Given a file "a.log" containing
      """
      {"asctime": "2026-04-10 10:00:01,000", "message": "runner silent", "process": "a", "runner": "r1"}
      {"asctime": "2026-04-10 10:00:01,500", "message": "request attempt failed", "process": "a", "request": "q1", "runner": "r1", "reason": "silent"}
      {"asctime": "2026-04-10 10:00:01,600", "message": "request answered", "process": "a", "request": "q2", "runner": "r1"}
      """
    And a file "b.log" containing
      """
      12.5 b {"asctime": "2026-04-10 10:00:01,900", "message": "request answered", "process": "b", "request": "q1", "status": 200}
      not a line
      """
    When the command "explain q1 {b.log} {a.log}" is run
    Then the exit code is 0
    And the output contains "a  runner silent  runner=r1"
    And the output contains "a  request attempt failed  request=q1 runner=r1 reason=silent"
    And the output contains "b  request answered  request=q1 status=200"
    When the command "explain q9 {a.log}" is run
    Then the exit code is 1
