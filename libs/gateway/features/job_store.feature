Feature: What a host caches of jobs and results agrees with the store
  A cache may lack what the store has; it never stands for more than it knows.

  Scenario: A job that the watch tells of before its creator is answered counts as new once
    Given a host whose watch of the store is faster than its writes
    When the job "j1" is accepted
    Then the run that the watch began knows that "j1" is new
    And a later run of "j1" reads its results

  Scenario: Results are read whole while those of other jobs displace them
    Given the job "j1" has 3 full segments of results in the store
    And a host has cached the first 2 of them
    When the host reads the results while it reads those of 70 other jobs
    Then it returns all 3 results in their order

  Scenario: A result is written while those of other jobs displace the cached ones
    Given the job "j1" has 3 full segments of results in the store
    And a host has cached all of them
    When the host writes a result of "j1" while it reads those of 70 other jobs
    Then the store has all 4 results in their order

  Scenario: Results that do not fit into one object of the store are all stored
    Given a store whose objects hold 1048576 bytes
    When 40 results of 40000 bytes are written at once
    Then the store has the 40 results within 2 s

  Scenario Outline: Each result that fits into an object of the store is stored
    Given a store whose objects hold 1048576 bytes
    When results of "<sizes>" bytes are written one after another
    Then the store has the results in their order within 4 s

    Examples:
      | sizes                       |
      | 500000,500000,100           |
      | 1000000,100                 |
      | 299000,299000,100,700000,10 |

  # Guards against results of one job that are listed under another (review/1)
  Scenario Outline: Jobs share no results, whatever their ids
    Given a store whose objects hold 1048576 bytes
    When the jobs "<ids>" each have results of 3 segments
    Then each of them has its own results alone
    And the results of the first are deleted without those of the others

    Examples:
      | ids                               |
      | digest,digest.1                   |
      | digest.1,digest                   |
      | a,a.0,a.1,a.1.0,a.1.1,a.0.0,a.1.2 |
      | a.,a..1,.1,1,a.01,a.1             |

  # Guards against results that one of two builds side by side does not find
  Scenario Outline: Results are where hosts of a former build look for them
    Given a former build has written <count> segments of the job "<id>"
    When this build reads them and writes the segments that follow
    Then each of them has its own results alone
    And a former build finds all 3 segments where it looks for them

    Examples:
      | id       | count |
      | digest   | 0     |
      | digest   | 1     |
      | digest   | 3     |
      | digest.1 | 0     |
      | digest.1 | 1     |
      | digest.1 | 2     |

  # Guards against a job that is accepted and then can't be read or ended
  Scenario Outline: A job is found by its id as it is escaped in a path
    Given a store whose objects hold 1048576 bytes
    When the job "<id>" is accepted beside a host's callers
    Then callers find it under "<escaped>", and can end it

    Examples:
      | id                | escaped               |
      | digest:2026-12-05 | digest%3A2026-12-05   |
      | digest:2026-12-05 | digest:2026-12-05     |
      | a/b               | a%2Fb                 |
      | a%2Fb             | a%252Fb               |
      | a b+c             | a%20b+c               |

  Scenario: A result that no object of the store holds keeps back no other result
    Given a store whose objects hold 1048576 bytes
    When results of "2000000,100,400000,100" bytes are written at once
    Then the store has the results but the first within 4 s

  Scenario: A job whose items have large headers is stored in parts
    Given a store whose objects hold 1048576 bytes
    When a job of 200 items with headers of 8000 bytes is submitted
    Then it is answered with 202

  Scenario Outline: A job that no object of the store holds is rejected for good
    Given a store whose objects hold 1048576 bytes
    When a job of <count> items with <what> is submitted
    Then it is answered with 400
    And the store has been called 0 times

    Examples:
      | count | what                     |
      | 1     | bodies of 900000 bytes   |
      | 1     | headers of 1100000 bytes |
      | 200   | ids of 6000 bytes        |

  # Guards against the job of one workspace that passes for the same one of another
  Scenario Outline: A job that another host has just accepted is so from its workspace alone
    Given a job of "<owner>" that another host has just accepted
    When the same job comes from "<workspace>" to a host that has not heard of it
    Then it is answered with <status>

    Examples:
      | owner | workspace | status |
      | clubs | clubs     | 202    |
      | clubs | buggies   | 400    |
      | none  | buggies   | 202    |
