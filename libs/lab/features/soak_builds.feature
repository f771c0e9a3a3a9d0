Feature: Builds of the project that soaks run side by side

  Scenario: Two soaks that begin at once share the sources of a commit
    When two soaks export the present commit at once
    Then both have its sources in one folder and nothing else is left
