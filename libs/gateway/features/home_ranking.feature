Feature: The ranking of hosts as homes of slots
  Hosts are ranked once for each view, and never by a view that has been replaced.

  Scenario Outline: Hosts are ranked anew when what is known of them changes
    Given the host "h1" with the hosts "h2,h3,h4" and the homes of 30 services
    When <change>
    Then the homes are those of the hosts that are known now
    And the home of a service is another one

    Examples:
      | change                          |
      | the new host "h5" joins         |
      | the known host "h2" is gone     |
      | the known host "h3" leaves      |
      | the known host "h4" is stronger |
      | the known host "h1" drains      |

  Scenario: Hosts are not ranked anew when runners change
    Given the host "h1" with the hosts "h2,h3,h4" and the homes of 30 services
    When a runner becomes known
    Then the hosts were not ranked anew
