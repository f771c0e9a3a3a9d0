Feature: Logging is rate-limited and never blocks
  Lines of an event that is logged too often are suppressed and counted.

  Scenario: A frequent event is rate-limited without affecting a rare one
    Given logging to a pipe that is read
    When the event "often" is logged 2000 times
    And the event "rare" is logged 1 times
    Then there are at most 400 lines of "often"
    And there is 1 line of "rare"

  Scenario: Suppressed lines are reported
    Given logging to a pipe that is read
    When the event "often" is logged 2000 times
    And the log clock advances by 11 s
    And the event "rare" is logged 1 times
    Then a line reports 1600 suppressed lines of "often"

  Scenario: A full pipe drops lines without blocking the caller
    Given logging to a pipe that is not read
    When lines of 3000 bytes are logged 390 times
    Then logging takes less than 2 s
    And lines are dropped

  Scenario: Each line is a JSON object with its fields
    Given logging to a pipe that is read
    When the event "request refused" is logged with request "q1"
    Then the line of "request refused" has request "q1" and process "host-1"
