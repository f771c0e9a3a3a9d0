Feature: The processes that write a stream
  A stream holds events of one version, though runners come back while entries are late.

  Scenario Outline: Random restarts, late entries and take-ups find an injected fault
    Then 200 runs of restarts and take-ups with "<fault>" find a fault

    Examples:
      | fault                                            |
      | no process is asked for before a stream begins   |
      | no process is asked for before a stream goes on  |
      | the host that begins a stream looks at no record |

  Scenario: Random restarts, late entries and take-ups never join two versions
    Then 200 runs of restarts and take-ups with "none" find no fault
