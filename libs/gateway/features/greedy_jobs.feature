@alone
Feature: Jobs that nobody runs end no host
  A host is a process of its own here.

  Background:
    Given a host with 80 MB of memory and 300 descriptors, and no cap on jobs

  # Guards against items that cost more than the bytes of their text
  Scenario: Many jobs of small items that nobody runs
    When 150 jobs of 100 small items are submitted, one after another
    Then the host is within its memory and half of its descriptors
    And those that were not accepted were refused with status 429
    And an ordinary request and a readiness probe are answered

  # Guards against documents that take many times their bytes once they are parsed
  Scenario: Documents of empty lists that come as jobs
    When 3 documents of 2 MB of empty lists come as jobs
    Then the host is within its memory and half of its descriptors
    And an ordinary request and a readiness probe are answered
