Feature: Silent runners keep their requests until another runner is ready
  Runners that stand still send nothing, accept connections, and go on later.

  Background:
    Given a fleet of 2 hosts on the platform

  Scenario Outline: Streams are not cut while all runners are silent
    Given engines "e1,e2" of 20 events that can stand still
    When all stand still for 1.2 s at "<place>" of 4 requests for "<path>" with 4 s left
    Then each request is answered completely
    And each ran once
    And all slots are free within 1 s

    Examples:
      | path     | place           |
      | /alert/  | before the head |
      | /alert/  | event 0         |
      | /alert/  | event 4         |
      | /urgent/ | event 4         |
      | /ask/    | before the head |
      | /ask/    | event 0         |
      | /ask/    | event 4         |

  Scenario Outline: Plain answers do not fail while all runners are silent
    Given plain runners "p1,p2" that can stand still
    When all stand still for 1.2 s at "<place>" of 4 requests for "<path>" with 2 s left
    Then each request is answered completely
    And those of "/order/" ran once

    Examples:
      | path    | place           |
      | /look/  | before the head |
      | /look/  | in the body     |
      | /order/ | before the head |
      | /order/ | in the body     |

  Scenario Outline: Streams are not cut while runners are silent and the configuration changes
    Given engines "e1,e2" of 20 events that can stand still
    When all stand still for 1.2 s at "event 4" of 4 requests for "/alert/" with 4 s left, and <change> comes into force <when>
    Then each request is answered completely
    And each ran once

    Examples:
      | change         | when   |
      | a new route    | during |
      | other timeouts | during |
      | a new version  | during |

    @matrix
    Examples: that come into force before or after the silence
      | change         | when   |
      | a new route    | before |
      | a new route    | after  |
      | other timeouts | before |
      | other timeouts | after  |
      | a new version  | before |
      | a new version  | after  |

    Examples: that touch the requests themselves
      | change                  | when   |
      | the loss of their route | during |
      | the loss of their route | after  |
      | shorter timeouts        | during |
      | fewer attempts          | during |
      | fewer slots             | during |

  Scenario: Streams are not cut while runners are silent and their entries are lost
    Given engines "e1,e2" of 20 events that can stand still
    When all stand still for 1.2 s at "event 4" of 4 requests for "/alert/" with 4 s left, and the entries of all are lost
    Then each request is answered completely
    And each ran once

  Scenario Outline: Streams are not cut while all runners are silent and slots are free
    Given engines "e1,e2" of 20 events that can stand still
    When all stand still for <duration> s at "<place>" of 2 requests for "/alert/" with 4 s left
    Then each request is answered completely
    And all slots are free within 1 s

    Examples:
      | place   | duration |
      | event 4 | 0.6      |
      | event 4 | 1.2      |
      | event 0 | 1.2      |

  Scenario: Streams are not cut while runners are silent and their host is told to stop
    Given engines "e1,e2" of 20 events that can stand still
    When all stand still for 1.2 s at "event 4" of 4 requests for "/alert/" with 4 s left, and all hosts are told to stop
    Then each request is answered completely

  Scenario: Streams are not cut while runners are silent and the home of their slots is lost
    Given engines "e1,e2" of 20 events that can stand still
    When all stand still for 1.2 s at "event 4" of 4 requests for "/alert/" with 4 s left, and their home is lost
    Then each request is answered completely
    And each ran once
    And all slots are free within 1 s

  Scenario Outline: Streams are not cut by one silence of all runners after another
    Given engines "e1,e2" of 20 events that can stand still
    When all stand still for <duration> s at "event 4" of 4 requests for "<path>" with 4 s left, and again at "event 8"
    Then each request is answered completely
    And each ran once

    Examples:
      | path     | duration |
      | /alert/  | 0.6      |
      | /urgent/ | 0.6      |
      | /alert/  | 1.0      |

  Scenario: A stream stays at a runner that is heard again while another is looked for
    Given engines "e1,e2" of 60 events that can stand still
    When one stands still for 0.7 s at "event 4" of 4 requests for "/alert/" with 4 s left
    Then each request is answered completely
    And each ran once
    And 0.2 s after the silence no request waited for a slot
    And all slots are free within 1 s

  Scenario Outline: A runner that stays silent is left as soon as another is free
    Given engines "e1,e2" of 20 events that can stand still
    When one stands still for good at "<place>" of 1 request for "<path>" with 4 s left
    Then each request is answered completely
    And the request began at another runner within <limit> s of silence
    And its first run had ended before

    Examples:
      | path     | place   | limit |
      | /alert/  | event 4 | 0.6   |
      | /urgent/ | event 4 | 0.6   |
      | /alert/  | event 0 | 1.0   |

  Scenario: A plain runner that stays silent is left as soon as another is free
    Given plain runners "p1,p2" that can stand still
    When one stands still for good at "before the head" of 1 request for "/look/" with 2 s left
    Then each request is answered completely
    And the request began at another runner within 1.0 s of silence

  Scenario: A stream waits at a silent runner until a slot of another is free
    Given engines "e1,e2" of 50 events that can stand still
    When one stands still for good at "event 4" of 4 requests for "/alert/" with 4 s left
    Then each request is answered completely
    And 2 of the requests ran twice, the second time after event 4

  Scenario: A silent runner keeps its streams while the only free one refuses connections
    Given engines "e1,e2" of 20 events that can stand still
    When all stand still for 1.2 s at "event 4" of 4 requests for "/alert/" with 4 s left, and a dead engine is listed
    Then each request is answered completely
    And each ran once

  Scenario: A stream that has its last attempt is not cut while its runner is silent
    Given engines "e1,e2" of 20 events that can stand still
    And the first engine that runs a stream breaks it after event 4
    When all stand still for 1.2 s at "event 8" of 1 request for "/alert/" with 4 s left
    Then each request is answered completely

  Scenario Outline: A request that comes while all runners are silent is answered
    Given engines "e1,e2" of 20 events that can stand still
    And plain runners "p1,p2" beside them
    When all stand still for 1.2 s at "event 4" of 2 requests for "/alert/" with 4 s left, and one for "<path>" comes 0.3 s later
    Then the late request is answered completely

    Examples:
      | path     |
      | /ask/    |
      | /look/   |
      | /order/  |

    Examples: of runners whose process is asked for first
      | path     |
      | /alert/  |
      | /urgent/ |

  Scenario Outline: No stream is cut before its deadline while all runners are silent
    Given engines "e1,e2" of 20 events that can stand still
    When all stand still for good at "event 4" of 4 requests for "<path>" with 1.5 s left
    Then each answer breaks off after event 4, between 1.4 s and 2.0 s

    Examples:
      | path     |
      | /alert/  |
      | /urgent/ |
      | /ask/    |
