Feature: Logs are bounded and never waited for
  Lines of an event that comes too often are left out and counted.

  Scenario: A frequent event is cut and a rare one is not
    Given logs to a pipe that is read
    When the event "often" is logged 2000 times
    And the event "rare" is logged 1 times
    Then there are at most 400 lines of "often"
    And there is 1 line of "rare"

  Scenario: Lines left out are told
    Given logs to a pipe that is read
    When the event "often" is logged 2000 times
    And 11 s pass for the logs
    And the event "rare" is logged 1 times
    Then a line tells that 1600 lines of "often" were left out

  Scenario: A full pipe drops lines and holds up nobody
    Given logs to a pipe that nobody reads
    When lines of 3000 bytes are logged 390 times
    Then logging took less than 2 s
    And lines were dropped

  Scenario: Each line is a document with its fields
    Given logs to a pipe that is read
    When the event "request refused" is logged with request "q1"
    Then the line of "request refused" has request "q1" and process "host-1"
