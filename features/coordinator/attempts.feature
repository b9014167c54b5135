Feature: Attempts of tasks and gangs

  Scenario: The log tells which attempts of a task were counted
    Given a cell of 2 nodes and 4 workers
    And task 1 of job "a" fails
    When 1 s passes
    And a job "a" with steps of 3 tasks is submitted
    And 4 s pass
    Then job "a" is failed
    And the log counts the failed attempts of job "a" as
      | task    | run | attempts | max_attempts |
      | a.0.0.1 | 1   | 1        | 2            |
      | a.0.0.1 | 2   | 2        | 2            |
