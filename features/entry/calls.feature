Feature: A call that is not idempotent runs at most once

  Scenario: A duplicate sent to another node is refused
    Given the running fleet
    When the team quotes sends the same call to quote at each node in turn
    Then the first is answered
    And the others are refused with 502 as outcome-unknown, unknown

  Scenario: Concurrent duplicates in both regions
    Given the running fleet
    When the team quotes sends the same call to quote at all nodes at once
    Then one is answered
    And the others are refused with 502 as outcome-unknown, unknown

  Scenario: Calls while the regions cannot reach each other
    Given a fleet of its own
    When the network between the regions is cut
    And the team quotes sends 12 calls to quote at central
    Then some are answered and the others are refused as not run
