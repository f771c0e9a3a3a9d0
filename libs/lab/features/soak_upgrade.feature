Feature: Soak test of a rolling upgrade
  Hosts of the build in production and of this one serve side by side.

  Scenario: All guarantees hold while hosts are rolled to this build and back
    When a soak with seed 5101 rolls 2 hosts from the commit in production and back
    Then no guarantee was violated
