Feature: Registries
  Implementations are looked up by name.

  Scenario: Looking up an unknown name lists the registered names
    Given a registry of "usage meter" with "requests,tokens"
    When the entry "token" is looked up
    Then the error is "no usage meter is called 'token'; known: requests, tokens"

  Scenario: A name can be registered only once
    Given a registry of "usage meter" with "tokens"
    Then registering "tokens" again is an error

  Scenario: Findings are raised together with their locations
    Given findings at lines "3,9" of "text.yaml"
    Then raising them gives one error with 2 findings, the last at "text.yaml:9: key"
