@alone
Feature: Peers outside the limits end no host
  Whoever reaches the port between hosts can connect to it. A host is a process of its
  own here.

  Background:
    Given a host with 80 MB of memory and 300 descriptors, and bodies of 2 MB

  # Guards against frames without any bound on their sum
  Scenario: Frames that stop short of their end
    When 40 peers send all but the end of a frame of 4 MB
    Then the host is within its memory and half of its descriptors
    And an ordinary request and a readiness probe are answered

  # Guards against connections that take all descriptors
  Scenario: Connections without a frame
    When 400 peers connect and send one byte
    Then the host is within its memory and half of its descriptors
    And an ordinary request and a readiness probe are answered

  # Guards against answers that pile up for a peer that reads none
  Scenario: Calls ahead of their answers, which nobody reads
    When 20 peers send 100 calls of 60 KB of an unknown kind, and read nothing
    Then the host is within its memory and half of its descriptors
    And an ordinary request and a readiness probe are answered
