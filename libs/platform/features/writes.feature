Feature: Writes to the platform
  Only a status that proves it says that a write had no effect.

  Scenario Outline: A failed write to the store is without effect only if its status says so
    Given a platform that answers writes with status <status>
    When an object is created in the store
    Then the effect of the write is <effect>
    When an object is put through the object API
    Then the effect of the write is <effect>

    Examples:
      | status | effect  |
      | 400    | none    |
      | 429    | none    |
      | 503    | none    |
      | 500    | unknown |
      | 502    | unknown |
      | 504    | unknown |

  Scenario: A write whose response cannot be read may have taken effect
    Given a platform that answers writes with status 200
    When an object is created in the store
    Then the effect of the write is unknown
