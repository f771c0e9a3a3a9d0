Feature: The operators' text
  Every finding comes with its line and key, and all are told together.

  Scenario Outline: What a text may not say
    Given the text of two services with <change>
    When it is read
    Then a finding on line <line> at "<key>" says "<message>"

    Examples:
      | change                    | line | key                             | message                                       |
      | an unknown key            | 13   | services.chat.max_runers        | is no known key (did you mean 'max_runners'?) |
      | a missing model           | 9    | services.chat.model             | no model is called 'cady'                     |
      | a missing service         | 12   | services.chat.depends_on        | no service is called 'fleet'                  |
      | a cycle                   | 12   | services.chat.depends_on        | chat -> chat                                  |
      | max below min             | 11   | services.chat.max_runners       | is below min_runners, 2                       |
      | a wide spread             | 13   | services.chat.min_data_centres  | is above max_runners, 3                       |
      | a shared key              | 20   | workspaces.clubs.key_digests    | a key of 'carritos' stands here too           |
      | a short digest            | 20   | workspaces.clubs.key_digests[0] | is no SHA-256 digest                          |
      | a key twice               | 11   | services.chat.min_runners       | stands twice                                  |
      | a model of a plain one    | 7    | services.carts.model            | is not for a plain service                    |
      | a path without its slash  | 7    | services.carts.calls[0].path    | does not begin with '/'                       |
      | an octal number           | 10   | services.chat.min_runners       | expected a decimal number, got '0o2'          |

  Scenario: Findings are told together
    Given the text of two services with every change at once
    When it is read
    Then there are at least 6 findings

  Scenario: Circular dependencies that share nothing are told each
    Given services where "a" needs "b", "b" needs "a", "c" needs "d", "d" needs "c"
    Then the circular dependencies are "a,b" and "c,d"

  Scenario: Any text is read or refused with findings
    Then 300 texts drawn at random are read or refused with findings
    And 300 changes of a sound text are read or refused with findings

  Scenario: A text of a megabyte is refused in bounded time and with bounded findings
    Given a text of 40000 unknown keys
    When it is read
    Then there are at most 101 findings

  Scenario: A text written before a key was there is read with its default
    Given the text of two services with no change
    When it is read
    Then "chat" has "in_flight_per_runner" 6
    And "chat" has "scale_down_after_s" 300

  Scenario: The page lists every key
    Then "docs/text.md" has a row for every key of the schema
    And the example of "docs/text.md" is read without findings

  Scenario: A long text is read in short slices
    Given a sound text of 4100 workspaces
    Then it is read in at least 50 slices, to the same configuration
