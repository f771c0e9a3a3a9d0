Feature: Soak test with random faults
  A soak injects faults into real host processes from outside and checks the history of
  what callers and runners observed.

  Scenario Outline: A violated guarantee is reported by its check
    Given a history without violations
    When <violation>
    Then only the check "<check>" reports a violation

    Examples:
      | violation                                                | check                    |
      | a stream that ended normally lacks its last event        | whole                    |
      | a caller gets the response to another request            | whole                    |
      | an aborted stream repeats an event                       | order                    |
      | a request that must not be repeated ran twice            | once                     |
      | a refused request runs afterwards                        | refusals are true        |
      | an item of a refused job runs                            | refusals are true        |
      | a runner gets a request that no caller sent              | asked for                |
      | the result at a position of a job changes                | positions stay           |
      | the text of a completed result lacks an event            | results are whole        |
      | an item of a job that was not cancelled fails            | results are whole        |
      | an accepted job lacks a result                           | accepted is done         |
      | an item begins to run long after its job was cancelled   | ends are obeyed          |
      | requests fail in the fault-free period                   | service returns          |
      | deadly requests still run in the fault-free period       | crashes are contained    |
      | a limited runner gets twice its limit                    | limits are kept          |
      | a host ends by itself                                    | hosts run                |
      | a host that was frozen ends by itself                    | hosts run                |
      | a host that is stopped ends with an error                | hosts run                |
      | a host is aborted since it did not stop in time          | hosts run                |
      | a host uses 200 MiB                                      | memory is bounded        |
      | an item waits 6 s in calm with room                      | owed                     |
      | an item is listed 30 s after the last fault              | jobs end                 |
      | a stream is taken up at another software version         | one version              |
      | the text of a result is from two software versions       | one version              |
      | a stream holds the text of an error                      | only own events          |
      | a whole stream ends with the text of an error            | only own events          |
      | a broken stream ends with the head of an error           | only own events          |
      | a stream holds an error as one of its events             | only own events          |
      | a stream goes on with another one's events               | only own events          |
      | the text of a completed result has another item's event  | results are whole        |
      | most take-ups in calm fail                               | streams go on            |
      | a host sends to a runner that it knows to leave          | leaving runners are left |
      | an item runs at a runner that a host knows to leave      | drained runners are left |
      | a host sends to a runner whose entry says that it leaves | drained runners are left |
      | a request that ran in calm gets no answer                | answers arrive           |
      | a host that restarts cuts a request that runs            | answers arrive           |
      | a request is cut while the process of the runners stalls | answers arrive           |
      | a request is cut while engines are paused                | answers arrive           |
      | a request is cut late in its time without a silence      | answers arrive           |
      | a host that stops cuts a request before its deadline while engines are paused | answers arrive |
      | a host that stops cuts a request that was sent late in its grace | answers arrive |
      | a host that reads its settings cuts a request late while engines are paused | answers arrive |
      | most requests at a host that is cut off fail             | cut hosts serve          |
      | most requests at other hosts fail during a cut           | cuts harm no others      |
      | a sound request is refused as crashing runners           | sound requests are served |
      | a host records a crash of a runner that runs on          | crashes are true         |
      | most requests fail in calm while two builds serve        | builds serve together    |
      | a runner is told another workspace than the caller's     | workspaces are told      |
      | a runner of an item is given the key                     | workspaces are told      |

  Scenario: The end of an answer is recorded, also of one that nobody reads
    Then the end of an answer is recorded once when 0 of its 2 events are read
    And the end of an answer is recorded once when 1 of its 2 events are read
    And the end of an answer is recorded once when 2 of its 2 events are read

  Scenario: A soak tells how late and how busy its own process was
    Given a history without violations
    When its process stalls for 0.5 and 1.5 s, and computes 0.3 and 0.9 s of 2 seconds
    Then its report tells "2 stalls, 2.0 s in all, the longest 1.5 s"
    And its report tells "computed 60% of the time, 90% of its busiest second"

  Scenario: A soak tells how long its processes waited for a processor
    Given a history without violations
    When its process waits 0.2 and 0.4 s for a processor, and a host 0.1 and 0.8 s
    Then its report tells "it waited 30% of the time and at most 40%"
    And its report tells "hosts 45% of the time and at most 80%"

  Scenario: A soak run again with the same seed keeps the folder of the first
    Given the kept folder of a soak that failed
    When soaks with the same seed get their folders
    Then each has an empty folder of its own, and the first is as it was

  Scenario: The fault schedule depends only on the seed
    Then seed 7 always gives the same schedule, and seed 8 a different one

  Scenario Outline: Many schedules bring each fault
    Then at least <count> of the 50 schedules of 20 s for seeds 1 to 50 bring <what>

    Examples:
      | count | what                                |
      | 15    | each kind of fault                  |
      | 10    | a kill of all hosts at once         |
      | 15    | a time in which the store is away   |
      | 20    | engines of two versions of software |

  Scenario: A release that follows a whole one brings a new version
    Then engines of versions "v1 v1 v1 v1" become "v2 v2 v1 v1" by the next release
    And engines of versions "v2 v2 v1 v1" become "v2 v2 v2 v2" by the next release
    And engines of versions "v2 v2 v2 v2" become "v3 v3 v2 v2" by the next release

  Scenario: Items that wait in a fault or without room are not reported as stuck
    Given a history without violations
    When an item waits 6 s in a fault
    And another waits 6 s without room
    Then no check reports a violation

  Scenario: Requests may end without an answer when a host or runner crashes
    Given a history without violations
    When a host that is killed cuts a request that runs
    Then no check reports a violation
    Given a history without violations
    When a request that crashes its runner cuts a request that runs
    Then no check reports a violation

  Scenario: Requests whose time is over may end without an answer beside a silence
    Given a history without violations
    When a request is cut late in its time while engines are paused
    Then no check reports a violation
    Given a history without violations
    When a host that stops cuts a request after its deadline while engines are paused
    Then no check reports a violation
    Given a history without violations
    When a host cuts a request at the end of its grace while engines are paused
    Then no check reports a violation

  Scenario: Requests may fail at a host that has just been cut off, or by other faults
    Given a history without violations
    When most requests fail before a host can know that it is cut off
    Then no check reports a violation
    Given a history without violations
    When most requests at a host that is cut off fail while the store is away
    Then no check reports a violation

  Scenario: Hosts may end when they are stopped or killed
    Given a history without violations
    When a host that is stopped ends well, and one that is killed
    Then no check reports a violation

  Scenario: A stream that breaks off may end within an event
    Given a history without violations
    When a broken stream ends within an event
    Then no check reports a violation

  Scenario: A host that was restarted or separated may not know that a runner leaves
    Given a history without violations
    When a host sends to a runner that it knew to leave before its restart
    Then no check reports a violation
    Given a history without violations
    When an item runs at such a runner while another fault separates the hosts
    Then no check reports a violation

  Scenario: Requests may fail in a fault while two builds serve
    Given a history without violations
    When most requests fail in a fault while two builds serve
    Then no check reports a violation

  Scenario Outline: All guarantees hold under random faults
    When a soak with seed <seed> runs 4 hosts with <kinds> faults for <seconds> s
    Then no guarantee was violated

    Examples: short
      | seed  | kinds   | seconds |
      | 1     | earlier | 16      |
      | 4101  | cuts    | 8       |
      | 43306 | pauses  | 8       |

    # 403: an item whose attempts were aborted three times by broken network paths was
    # never attempted again.
    # 502: at that time all callers sent the same body. After broken network paths had
    # aborted three attempts, equal requests were refused as crashing their runner for
    # up to 120 s, though no runner had ended.
    # 905: 63 requests reached runners 2 to 4 s after their host had passed on an answer
    # that said that they leave.
    # 914: texts of batch results were joined from two software versions.
    # 2002, 2004: streams went on at engines that had started again at another version
    # under their ids, before their entries said so.
    # 3018: the soak's engine that takes streams up wrongly wrote an end without events,
    # which a host can't tell from that of a stream whose end alone was lost.
    # 3039: the soak took a killed host for one that ended by itself: a further signal
    # had reaped it, so that its exit code was lost.
    @matrix
    Examples: seeds of past failures, with the faults of that time
      | seed | kinds   | seconds |
      | 403  | first   | 60      |
      | 502  | first   | 60      |
      | 905  | leaving | 16      |
      | 914  | refused | 16      |
      | 2002 | earlier | 16      |
      | 2004 | earlier | 16      |
      | 3018 | earlier | 20      |
      | 3039 | earlier | 20      |
