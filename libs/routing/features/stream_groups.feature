Feature: The origins of streams in the store
  While hosts are lost, the store tells which version began a stream, and never another.

  Scenario Outline: Random losses of writes, homes and all hosts find an injected fault
    Then 100 runs of stored origins with "<fault>" find a fault

    Examples:
      | fault                                                  |
      | origins that are not proved are stored                 |
      | groups are overwritten unread, whatever their revision |
      | the newest group is opened anew                        |
      | a write without an answer counts as done               |

  Scenario: Random losses of writes, homes and all hosts leave live origins in the store
    Then 100 runs of stored origins with "none" find no fault

  Scenario: A request that is stored with two versions proves none
    Given a group 0 of "s1:v1,s2:v1" and a group 1 of "s1:v2,s3:v2"
    Then the stored origins are "s2:v1,s3:v2"

  Scenario: A group holds so many streams that all groups fit the memory of a host
    Given 3000 streams begin at once
    Then the first write holds 2500 streams and the second 500 in another group
