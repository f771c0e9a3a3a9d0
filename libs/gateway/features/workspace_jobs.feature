Feature: Batch jobs of workspaces
  A job belongs to the workspace of the key that it was submitted with.

  Background:
    Given a fleet of 2 hosts on the platform
    And engines "e1,e2"
    And the workspaces "clubs" with keys "k1,k2" and "buggies" with keys "k3"

  Scenario: Items run on behalf of the workspace, whatever their headers say
    When the key "k1" submits the job "j1" of 2 items with own keys at "h0"
    Then it is accepted
    And the key "k2" finds 2 results of "j1" at each host
    And the runners were told the workspace "clubs" for each item of "j1", and no key

  Scenario: A job is reached with any key of its workspace, and with no other
    When the key "k1" submits the job "j1" of 1 items at "h0"
    Then the calls on jobs are answered as follows at each host
      | key  | job | reads | item | end |
      | k1   | j1  | 200   | 200  |     |
      | k2   | j1  | 200   | 200  |     |
      | k3   | j1  | 404   | 404  | 404 |
      | k9   | j1  | 401   | 401  | 401 |
      | none | j1  | 401   | 401  | 401 |
      | k1   | j0  | 404   | 404  | 404 |
      | none | j0  | 401   | 401  | 401 |
      | k2   | j1  | 200   |      | 200 |

  Scenario: A key that is taken away ends no job, and another one reaches it
    Given engine "e1" is full
    And engine "e2" is full
    When the key "k1" submits the job "j1" of 2 items at "h0"
    And the operator takes the key "k1" away
    And all engines have free slots again
    Then the key "k2" finds 2 results of "j1" at each host
    And the calls on jobs are answered as follows at each host
      | key  | job | reads | item | end |
      | k1   | j1  | 401   | 401  | 401 |

  Scenario Outline: A job that comes again is accepted from its workspace alone
    When the key "k1" submits the job "j1" of 1 items at "h0"
    And the key "<key>" submits the job "j1" of 1 items at "<host>"
    Then it is refused with <status>

    Examples:
      | key | host | status |
      | k2  | h0   | 202    |
      | k2  | h1   | 202    |
      | k3  | h0   | 400    |
      | k3  | h1   | 400    |

  Scenario: Each workspace may have as many tokens waiting as the route allows
    Given engine "e1" is full
    And engine "e2" is full
    When the key "k1" submits the job "j1" of 8000 tokens at "h0"
    Then it is accepted
    When the key "k2" submits the job "j2" of 8000 tokens at "h0"
    Then it is refused with 429
    When the key "k3" submits the job "j3" of 8000 tokens at "h0"
    Then it is accepted

  Scenario: Jobs on a public route need no key
    When no key submits the job "j1" of 1 items on the public route at "h0"
    Then it is accepted
    And the calls on jobs are answered as follows at each host
      | key  | job | reads | item | end |
      | none | j1  | 200   |      |     |
      | k3   | j1  | 200   |      |     |
      | none | j0  | 401   | 401  | 401 |
      | none | j1  | 200   |      | 200 |
