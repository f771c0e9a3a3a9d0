@alone
Feature: Crowds of several kinds at once end no host
  Each kind has a bound; what counts is their sum. A host is a process of its own here.

  # Guards against bounds that hold one by one and not together
  Scenario: Jobs, whole bodies, bodies short of their end and requests ahead
    Given a host with 80 MB of memory and 300 descriptors, and bodies of 2 MB
    When 60 jobs of 1800 KB are submitted, one after another
    And 40 clients send a body of 2 MB with a length
    And 40 clients send all but the end of a body of 2 MB in chunks
    And 12 clients send requests ahead to the caller for "/nowhere"
    Then the host is within its memory and half of its descriptors
    And an ordinary request and a readiness probe are answered

  Scenario: Jobs, whole bodies, frames of peers and calls that nobody reads the answers of
    Given a host with 80 MB of memory and 300 descriptors, and bodies of 2 MB
    When 60 jobs of 1800 KB are submitted, one after another
    And 40 clients send a body of 2 MB with a length
    And 40 peers send all but the end of a frame of 4 MB
    And 20 peers send 100 calls of 60 KB of an unknown kind, and read nothing
    And 40 clients send all but the end of a body of 2 MB in chunks
    Then the host is within its memory and its descriptors
    And an ordinary request and a readiness probe are answered

  # Guards against clients that cost a second descriptor, that of their runner
  Scenario: Requests that a runner does not answer, beside connections of peers
    Given a host with 80 MB of memory and 300 descriptors, and bodies of 2 MB
    And the runner answers nothing
    When 120 clients send a small body and wait
    And 400 peers connect and send one byte
    Then the host is within its memory and its descriptors
    When the clients leave and the runner answers again
    Then an ordinary request and a readiness probe are answered
