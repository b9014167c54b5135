Feature: Schedules of calls that are lost, late or answered late

  Every choice of a schedule is the course of a call: it is delivered, it is
  lost, its reply is lost, or it is carried out late.

  Scenario Outline: The normal course of each script
    Given 2 nodes and the script "<script>"
    When the schedules with at most 0 deviations are run
    Then no schedule violates a check

    Examples:
      | script  |
      | calm    |
      | kill    |
      | cut     |
      | leave   |
      | slow    |
      | cuts    |
      | in-turn |
      | move    |
      | zones   |

  Scenario: All workers are replaced by others under new names
    Given 2 nodes and the script "replace"
    When the schedules with at most 0 deviations are run
    Then no schedule violates a check

  Scenario: LOST: gangs of which members fail together use their attempts
    Given 2 nodes and the script "gangs"
    When the first 60 schedules with at most 1 deviation are run
    Then no schedule violates a check

  Scenario: LOST: gangs of three nodes use their attempts in random schedules
    Given 3 nodes and the script "gangs"
    When random schedules of the seeds 1 to 6 are run
    Then no schedule violates a check

  Scenario: Schedules with one deviation while the store is slow
    Given 2 nodes and the script "slow"
    When the first 40 schedules with at most 1 deviation are run
    Then no schedule violates a check

  Scenario Outline: Random schedules of three nodes
    Given 3 nodes and the script "<script>"
    When random schedules of the seeds 1 to 6 are run
    Then no schedule violates a check

    Examples:
      | script  |
      | kill    |
      | cut     |
      | slow    |
      | replace |
      | cuts    |
      | in-turn |
      | move    |
      | zones   |

  Scenario: Schedules with one deviation while zones are closed
    Given 2 nodes and the script "zones"
    When the first 20 schedules with at most 1 deviation are run
    Then no schedule violates a check

  Scenario: A violation is shrunk to the deviations that it needs
    Given 2 nodes and the script "calm"
    And a check that no call to the leader's topic is lost
    When random schedules of the seeds 1 to 6 are run
    Then a schedule violates a check
    And shrunk it has one deviation, which its description names
