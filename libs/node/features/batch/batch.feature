Feature: Batch jobs under faults
  An accepted job completes exactly once, whatever fails in the meantime.

  Scenario: An engine is killed with items in flight
    Given a fleet with leases of 60 s
    And an accepted job of 300 items
    When items are in flight
    And the first engine is killed and restarted
    Then the job completes with the right result for each item

  @cell.host_loss_after_ack.job.accepted
  Scenario: The host is killed right after acknowledging the job
    Given a fleet with leases of 2 s
    And a job of 300 items whose host is killed after the acknowledgement
    When the job is submitted again to another host
    Then the existing job is returned and no second one is created
    And a different body under its key is refused with "key_in_use"
    And the job completes with the right result for each item

  @cell.freeze_past_lease.job.running
  Scenario: A host is frozen until its lease has expired
    Given a fleet with leases of 2 s
    And an accepted job of 400 items
    When items are in flight
    And a host that holds a chunk is frozen until another host takes it over
    Then the job completes with the right result for each item

  Scenario: The platform is unavailable for 5 s
    Given a fleet with leases of 3 s
    And an accepted job of 400 items
    When items are in flight
    And the platform becomes unavailable
    Then a new job is refused with "not_accepted"
    When the platform is available again after 5 s
    Then the job completes with the right result for each item

  @cell.resend.job.accepted
  Scenario: Responses of the platform are lost
    Given a fleet with leases of 3 s
    And the platform loses the responses to the next 6 writes
    And an accepted job of 300 items
    And the platform loses the responses to the next 6 writes
    Then the job completes with the right result for each item

  Scenario: A host that stops releases its claims
    Given a fleet with leases of 60 s
    And an accepted job of 400 items
    When items are in flight
    And a host that holds a chunk is stopped
    Then the job completes with the right result for each item

  Scenario: A job is cancelled and the host that received the request is killed
    Given a fleet with leases of 2 s
    And an accepted job of 2000 items
    When a chunk is done
    And the job is cancelled through a host that is killed, then through another
    Then no further item starts
    And the results stored so far can be read

  @cell.crash_request.job.running
  Scenario: An item crashes each engine that runs it
    Given a fleet with leases of 60 s
    And an accepted job of 20 items and one that crashes engines
    Then the job completes with a typed error for that item while engines restart

  Scenario: Two engines die for other reasons under a sound item
    Given a fleet with leases of 60 s
    And an accepted job of 1 item of 400 tokens
    When the engine of the item is killed and restarted 2 times, each after 40 tokens
    Then the job completes with the right result for each item

  Scenario: A job is uploaded in parts
    Given a fleet with leases of 60 s
    When parts of 250, 10 and 40 items are uploaded through different hosts
    And the job is submitted with its 3 parts
    Then the job completes with the right result for each item

  Scenario: Lines of a job are invalid
    Given a fleet with leases of 60 s
    When a job with invalid lines 2 and 4 is submitted
    Then the job is refused with findings at lines 2 and 4

  Scenario Outline: Every engine stands still while items are in flight
    Given a fleet with leases of 60 s
    And an accepted job of 60 items of 100 tokens
    When items are in flight
    And every engine stands still for <still_s> s
    Then the job completes with the right result for each item
    And each of 60 items was sent to an engine once

    Examples:
      | still_s |
      | 1       |
      | 2.5     |
