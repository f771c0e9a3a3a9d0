Feature: Items are placed whatever hosts, homes, links, the store and runners do
  While runners have room and a host lives and reaches the store, each accepted item
  that is not listed comes to a runner in bounded time.

  Scenario: Random takeovers, moves of homes and exclusions leave no item lying
    Then after 60 random runs each accepted item is listed in time

  Scenario: Items whose asks are stuck at lost homes are taken up again
    Given the fault that asks stay in the queue of a lost home
    Then after 60 random runs each accepted item is listed in time

  Scenario Outline: Random runs find an injected fault
    Given the fault that <fault>
    Then 60 random runs find an item left lying

    Examples:
      | fault                                               |
      | asks stay there and no stuck item is taken up again |
      | slots are never given back                          |
      | jobs are never taken over                           |
