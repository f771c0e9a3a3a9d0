Feature: Components of the change feed of the store
  The state of a kind of objects never returns to an older revision. A source serves
  a reader once it knows at least the reader's revisions, and only while a recent probe
  proves that the store responds to it.

  Background:
    Given a state of a kind with "a" as of revision 5

  Scenario: Older snapshots are ignored
    When all objects are "b" as of revision 4
    Then "a" is known as of revision 5

  Scenario: Older changes are ignored
    When "b" is added as of revision 4
    Then "a" is known as of revision 5

  Scenario: Newer changes are applied
    When "b" is added as of revision 6
    Then "a,b" is known as of revision 6

  Scenario: Objects that are missing from a snapshot are removed
    When all objects are "b" as of revision 7
    Then "b" is known as of revision 7

  Scenario: A source that is behind its reader reads the store before it responds
    When a reader that knows revision 7 requests the feed
    Then the source reads the store, and sends only "b" as of revision 8

  Scenario: A source that can't read the store sends no changes
    When a reader that knows revision 7 requests the feed during a store outage
    Then the source sends no changes and reports that it lost the store

  Scenario: A source that has lost the store soon refuses readers
    # It may have it back at its next probe, 0.4 s later
    When a reader that knows revision 1 requests the feed of a source without the store
    Then the source reports that it lost the store within 0.75 s

  # Guards against requests that go by an old manifest for 28 s (review/4)
  Scenario Outline: A watch whose connection has fallen silent is given up soon
    Given a store that answers a list, and falls silent on the connection of a watch
    When a change of <kind> is made just after that
    Then the follower knows it within <limit> s

    Examples:
      | kind          | limit |
      | configuration | 5     |
      | runners       | 5     |
      | versions      | 5.5   |

  # Guards against the loss of all runners whose entries expire in a short outage
  Scenario: A source that has lost the store shows its reader that the store fails
    When a host starts whose source has lost the store
    Then it has seen the store fail

  Scenario: The proof that the store responds expires while the next probe is pending
    Given a host that has proved that the store responds
    When 0.8 s pass without a response from the store
    Then the host does not report the store as lost
    When 0.2 s pass without a response from the store
    Then the host reports the store as lost

  Scenario Outline: A follower of the store goes on after an unexpected error
    Given a follower of the kind whose <what> fails unexpectedly once
    When "b" is added to the store
    Then the follower knows "b"

    Examples:
      | what   |
      | list   |
      | watch  |
      | change |

  Scenario: A source that starts lists all objects once
    Given a follower of the kind whose nothing fails unexpectedly once
    When it takes a snapshot and follows the store from there
    And "b" is added to the store
    Then the follower knows "b"
    And it has listed all objects 1 time in all

  Scenario: A host that starts reads the store once, and follows it only as a source
    When a host starts whose source is another one
    Then it has listed all objects 1 time and not followed the store
    When no other host serves
    Then it has listed all objects 1 time and follows the store
