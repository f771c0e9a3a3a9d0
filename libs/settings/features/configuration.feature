Feature: The configuration
  Every finding has its line and key, and all findings are reported together.

  Scenario Outline: An invalid configuration is rejected
    Given the configuration of two services with <change>
    When it is read
    Then a finding on line <line> at "<key>" says "<message>"

    Examples:
      | change                    | line | key                             | message                                       |
      | an unknown key            | 13   | services.chat.max_runers        | unknown key (did you mean 'max_runners'?)     |
      | a missing model           | 9    | services.chat.model             | no model is called 'cady'                     |
      | a missing service         | 12   | services.chat.depends_on        | no service is called 'fleet'                  |
      | a cycle                   | 12   | services.chat.depends_on        | chat -> chat                                  |
      | max below min             | 11   | services.chat.max_runners       | is below min_runners, 2                       |
      | too many data centres     | 13   | services.chat.min_data_centres  | is above max_runners, 3                       |
      | a shared caller key       | 20   | workspaces.clubs.key_digests    | also a key of 'carritos'                      |
      | a short digest            | 20   | workspaces.clubs.key_digests[0] | is not a SHA-256 digest                       |
      | a duplicate key           | 11   | services.chat.min_runners       | duplicate key                                 |
      | a plain service's model   | 7    | services.carts.model            | does not apply to a plain service             |
      | a path without a slash    | 7    | services.carts.calls[0].path    | does not begin with '/'                       |
      | an octal number           | 10   | services.chat.min_runners       | expected a decimal number, got '0o2'          |

  Scenario: All findings are reported together
    Given the configuration of two services with every change at once
    When it is read
    Then there are at least 6 findings

  Scenario: Disjoint circular dependencies are each reported
    Given services where "a" needs "b", "b" needs "a", "c" needs "d", "d" needs "c"
    Then the circular dependencies are "a,b" and "c,d"

  Scenario: Any text is accepted or rejected with findings
    Then 300 random texts are accepted or rejected with findings
    And 300 mutations of a valid text are accepted or rejected with findings

  Scenario: A text of a megabyte is rejected with a bounded number of findings in bounded time
    Given a text of 40000 unknown keys
    When it is read
    Then there are at most 101 findings

  Scenario: A configuration written before a key existed gets its default
    Given the configuration of two services with no change
    When it is read
    Then "chat" has "in_flight_per_runner" 6
    And "chat" has "scale_down_after_s" 300

  Scenario: The reference page documents every key
    Then "docs/text.md" has a row for every key of the schema
    And the example of "docs/text.md" is valid

  Scenario: A long configuration is read in short slices
    Given a valid configuration of 4100 workspaces
    Then it is read in at least 50 slices, to the same configuration
