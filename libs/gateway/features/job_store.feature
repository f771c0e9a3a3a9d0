Feature: What a host caches of jobs and results agrees with the store
  A cache may lack what the store has; it never stands for more than it knows.

  Scenario: A job that the watch tells of before its creator is answered is read again
    Given a host whose watch of the store is faster than its writes
    When the job "j1" is accepted
    Then the job "j1" may have results that are not cached
