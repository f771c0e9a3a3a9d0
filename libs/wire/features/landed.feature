Feature: Messages of the build that landed last
  During an upgrade hosts of two builds exchange messages in both directions. The samples
  in landed/ were written by the build that landed last; tools/record_samples.py records
  those of a build that is to land.

  Scenario: Each message of the landed build is decoded by this one
    When each recorded message is decoded
    Then each message has its recorded values, and defaults in fields added since

  Scenario: Each message of this build is decoded by the landed one
    When each message that both builds know is decoded with the landed schema
    Then each has the values of the fields that the landed build knows

  Scenario: No field of the landed schema has another number, type or name, or is gone
    Then the landed schema is part of the present one

  Scenario Outline: A change of the schema that breaks an upgrade is found
    Given the present schema with <change>
    Then the landed schema is not part of it

    Examples:
      | change                        |
      | SlotAsk.avoid renumbered      |
      | SlotAsk.avoid removed         |
      | SlotAsk.avoid of another type |
      | SlotAsk.avoid renamed         |
      | SlotAsk removed               |
