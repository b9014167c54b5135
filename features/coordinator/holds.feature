Feature: Room and quota that is freed for an urgent step

  Scenario Outline: What is freed for a wide task is not given to other work
    Given a cell of 2 nodes and 1 worker
    And tasks of job "batch" take 30 s
    And runs that are stopped together end 0.04 s after each other
    When 1 s passes
    And a batch job "batch" of "<team>" with 16 tasks waits for room
    And 2 s pass
    And a job "a" of "<team>" with a task as large as <size> others is submitted
    And 2.2 s pass
    Then job "a" is succeeded
    And at most <size> runs of job "batch" were stopped

    Examples:
      | team   | size |
      | acme   | 6    |
      | capped | 2    |

  Scenario Outline: Who may use the room that is being freed for a step
    Given a step of priority 1 for which room for 3 tasks is being freed
    And 4 tasks have room on the worker by now
    When <seconds> s have passed
    Then a step of priority <priority> finds room for <count> tasks there

    Examples:
      | priority | seconds | count |
      | 0        | 0.1     | 4     |
      | 1        | 0.1     | 1     |
      | 2        | 0.1     | 1     |
      | 2        | 0.7     | 4     |

  Scenario: The step itself finds the room, and the rest is free afterwards
    Given a step of priority 1 for which room for 3 tasks is being freed
    And 4 tasks have room on the worker by now
    Then the step itself finds room for 4 tasks there
    When the step is placed on the worker
    Then a step of priority 2 finds room for 4 tasks there

  Scenario: Nothing is kept for a job that has ended
    Given a step of priority 1 for which room for 3 tasks is being freed
    And 4 tasks have room on the worker by now
    When the job of that step is cancelled
    Then a step of priority 2 finds room for 4 tasks there
