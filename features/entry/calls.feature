Feature: A call that is not idempotent runs at most once

  Scenario: A copy at any other node is refused
    Given the running fleet
    When the team quotes sends one call to quote at each node in turn
    Then the first is answered
    And the others are refused with 502 as outcome-unknown, unknown

  Scenario: Copies at both regions at once
    Given the running fleet
    When the team quotes sends one call to quote at all nodes at once
    Then one is answered
    And the others are refused with 502 as outcome-unknown, unknown

  Scenario: Its home is out of reach
    Given a fleet of its own
    When the regions lose each other
    And the team quotes sends 12 calls to quote at central
    Then each is answered or refused as not run, and some of both
