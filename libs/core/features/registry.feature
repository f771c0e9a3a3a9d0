Feature: Registries
  Behaviour that varies is chosen by a short name.

  Scenario: An unknown name lists the known ones
    Given a registry of "usage meter" with "requests,tokens"
    When the entry "token" is asked for
    Then the error is "no usage meter is called 'token'; known: requests, tokens"

  Scenario: A name is taken once
    Given a registry of "usage meter" with "tokens"
    Then registering "tokens" again is an error

  Scenario: Findings are raised together with their places
    Given findings at lines "3,9" of "text.yaml"
    Then raising them gives one error with 2 findings, the last at "text.yaml:9: key"
