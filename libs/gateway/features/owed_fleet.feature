Feature: Items are placed whatever hosts, homes, links, the store and runners do
  While runners have room and a host lives and reaches the store, each accepted item
  that is not listed comes to a runner in bounded time.
  Hosts drain; runners start again at other versions, name limits or say that they leave;
  the route of the items leads elsewhere or is removed for a while; all hosts lose power.

  Scenario: Random takeovers, moves of homes, drains, versions and exclusions leave no item lying
    Then after 120 random runs each accepted item is listed in time

  Scenario: Items whose asks are stuck at lost homes are taken up again
    Given the fault that asks stay in the queue of a lost home
    Then after 120 random runs each accepted item is listed in time

  Scenario: Items whose home believes its runners full are started over at another
    Given the fault that a home counts slots that nobody holds
    Then after 80 random runs with another host each accepted item is listed in time

  Scenario Outline: Random runs find an injected fault
    Given the fault that <fault>
    Then 400 random runs find an item left lying

    Examples:
      | fault                                               |
      | asks stay there and no stuck item is taken up again |
      | asks outlive their route                            |
      | a home counts slots that nobody holds and no item is started over |
      | slots are never given back                          |
      | jobs are never taken over                           |
      | items wait for their version without end            |
      | new software versions are never announced           |
      | runners that said they leave are left out for ever  |
      | items wait for more than limited runners ever take  |
