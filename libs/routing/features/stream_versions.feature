Feature: Software versions of streams
  A stream goes on only at the software version that wrote its first event.

  Scenario Outline: Random releases, kills and take-ups find an injected fault
    Then 4 times 150 runs of releases and take-ups with "<fault>" find a fault

    Examples:
      | fault                                     |
      | a version begins streams unannounced      |
      | a version is dropped when it is closed    |
      | the only version listed is taken as proof |

  Scenario: Random releases, kills and take-ups never join two versions in a stream
    Then 4 times 150 runs of releases and take-ups with "none" find no fault

  Scenario Outline: A runner that restarts at another version leaves a stream unproved
    Given a stream that version "v1" of a process born at 1000 s began at 1020 s
    When its runner is listed with version "<version>" and born at <born_s> s
    Then at 1030 s the version of the stream is "<proven>"

    Examples: the entry came late, or the process is provably younger than the stream
      | version | born_s | proven  |
      | v1      | 1000   | v1      |
      | v1      | 1028   | v1      |
      | v2      | 1010   | unknown |
      | v2      | 1023   | unknown |
      | v2      | 1028   | v1      |
      | v2      | 1000   | unknown |

  Scenario Outline: An entry that the runner had for a while leaves a stream unproved
    Given a stream that version "v1" of a process born at 1000 s began at 1020 s
    When its runner is listed with version "v2" and born at 1019 s
    And its runner is listed with version "<version>" and born at 1040 s
    Then at 1050 s the version of the stream is "unknown"

    Examples:
      | version |
      | v1      |
      | v3      |

  Scenario: The former entries of a runner's processes are known for a time
    Given a memory of 3 former entries
    When at 10 s runner "r1" of version "v1" starts again at "v2"
    And at 20 s runner "r1" of version "v2" starts again at "v3"
    And at 21 s runner "r1" of version "v3" starts again at "v3"
    Then at 22 s the former entries of "r1" since 10 s are "v1,v2"
    And at 22 s the former entries of "r1" since 11 s are "v2"
    And at 22 s the former entries of "r2" since 10 s are ""
    And at 615 s the former entries of "r1" since 10 s are "v2"
    When at 620 s runner "r2" of version "v1" starts again at "v2"
    And at 621 s runner "r2" of version "v2" starts again at "v3"
    And at 622 s runner "r2" of version "v3" starts again at "v4"
    Then at 623 s the former entries of "r1" since 10 s are ""
    And at 623 s the former entries of "r2" since 10 s are "v1,v2,v3"

  Scenario: The origin of a stream is forgotten after its time, and the oldest when full
    Given a memory of 2 origins
    When the streams "s1,s2,s3" begin
    Then the memory knows "s2,s3"
    When the clock advances by 31 s
    Then the memory knows ""
