Feature: Random faults

  Scenario: Five seeds of two virtual minutes
    When the seeds 1 to 5 run for 2 virtual minutes each
    Then no run broke a guarantee or lost work
