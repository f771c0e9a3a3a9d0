Feature: Leaving a data centre, and uneven runners
  Three data centres have 4 runners with 8 slots each. Requests are played against their
  home's slot pool by a clock that the test moves; a runner slows down as it fills.

  Scenario Outline: Load stays inside while there is room, and leaves as it gets scarce
    When data centres ask for <loads> of their slots for 8 s
    Then from <outside> of the requests of "x" leave it

    Examples:
      | loads         | outside      |
      | 0.2, 0.2, 0.2 | 0.0 to 0.03  |
      | 0.5, 0.5, 0.5 | 0.0 to 0.15  |
      | 0.9, 0.3, 0.3 | 0.1 to 0.4   |
      | 1.8, 0.2, 0.2 | 0.45 to 0.75 |

  Scenario: As much leaves as makes both places end equally late
    When data centres ask for 1.2, 0.3, 0.3 of their slots for 8 s
    Then requests of "x" end as late inside as outside, within 0.15 of it

  Scenario: Load returns when the overload ends, and doesn't move to and fro
    When data centres ask for 1.5, 0.3, 0.3 of their slots for 6 s
    And data centres ask for 0.2, 0.2, 0.2 of their slots for 6 s
    Then from 0.0 to 0.05 of the requests of "x" leave it after 7 s
    And its changes within 1 s are at most 0.25, but at 6 s

  Scenario: While all fill up, little leaves; while all are full, no load moves to and fro
    When data centres ask for 0.7, 0.7, 0.7 of their slots for 6 s
    Then from 0.0 to 0.35 of the requests of "x" leave it
    When data centres ask for 0.95, 0.95, 0.95 of their slots for 6 s
    Then its changes within 1 s are at most 0.35, but at 6 s

  Scenario: A data centre whose runners turn slow is left, and used again later
    When the runners of "x" take 3.5 times as long
    And data centres ask for 0.3, 0.3, 0.3 of their slots for 6 s
    And the runners of "x" take 1 times as long
    And data centres ask for 0.3, 0.3, 0.3 of their slots for 15 s
    Then from 0.3 to 0.9 of the requests of "x" leave it between 3 s and 6 s
    And from 0.0 to 0.1 of the requests of "x" leave it after 16 s

  Scenario Outline: A slow runner gets less, and requests end earlier than by free slots
    When runner "x1" takes 1.7 times as long
    And data centres ask for <load>, <load>, <load> of their slots for 10 s
    Then runner "x1" gets from <starts> of the mean of the runners of "x"
    And requests end no later than by free slots alone

    Examples:
      | load | starts      |
      | 0.5  | 0.2 to 0.59 |
      | 1.0  | 0.4 to 0.7  |

  Scenario: A runner without requests is no slower than those that have been given all
    Given a pool of "x1" in "x" and "x2" in "x"
    When 200 requests of 0.003 s each are given to "x2", and no time is known yet
    Then a prompt with parts "p" of a host in "x" gets a slot of "x1"

  Scenario Outline: Without enough to go by, runners are chosen as before
    When data centres ask for 0.4, 0.4, 0.4 of even runners' slots for 3 s <without>
    Then the runners chosen are those chosen by free slots alone

    Examples:
      | without                                  |
      | without a data centre of the asking host |
      | without data centres of the runners      |
      | with 3 runners in each data centre       |

  Scenario: What is cached outside draws a request only if it is much
    Given a pool of "x1,x2,x3,x4" in "x" and "y1,y2,y3,y4" in "y"
    When a prompt with parts "p" of a host in "x" gets a slot
    And a prompt with parts "p,q" of a host in "y" gets a slot
    Then a prompt with parts "p,q" of a host in "x" gets a slot in "x"
    When a prompt with parts "a,b,c,d" of a host in "y" gets a slot
    Then a prompt with parts "a,b,c,d" of a host in "x" gets a slot in "y"

  Scenario Outline: Plain runners get their share of the load from the hosts around them
    When "x,y,z" have <hosts> hosts and <slots> slots of a plain service
    Then hosts in "y" send <shares> of their requests to "x,y,z"

    Examples:
      | hosts      | slots    | shares           |
      | 25, 25, 25 | 12, 6, 6 | 0.25, 0.75, 0.0  |
      | 20, 22, 20 | 6, 6, 6  | 0.03, 0.94, 0.03 |
      | 25, 25, 25 | 12, 0, 6 | 1.0, 0.0, 0.0    |
      | 40, 10, 25 | 6, 6, 6  | 0.0, 1.0, 0.0    |
      | 3, 3, 3    | 12, 6, 6 | 0.33, 0.33, 0.33 |

  Scenario: A plain runner that is slow gets less
    When a host gives 3000 requests to plain runners that take 1.0, 1.0, 1.7 times 0.1 s
    Then the last of them gets from 0.18 to 0.3 of the requests

  Scenario Outline: Callers are told of hosts of their data centre first
    When a caller in "<zone>" asks where to connect and "x,y,z" have <hosts> hosts
    Then it is told of <told> hosts of "x,y,z"
    And each host tells it the same

    Examples:
      | zone | hosts      | told       |
      | x    | 3, 3, 3    | 3, 3, 3    |
      | x    | 20, 22, 20 | 20, 22, 20 |
      | x    | 90, 40, 40 | 48, any    |
      | x    | 60, 2, 2   | 60, 2, 2   |
      | y    | 26, 26, 25 | any, 26    |
