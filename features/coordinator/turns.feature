Feature: The turns of the event loop stay short, whatever a job names

  Other nodes take a coordinator for dead if it renews nothing for a while.

  # Guards against passes, sweeps and loads that take all steps of a job at once.
  Scenario Outline: LOST: a job of very many steps does not depose each coordinator
    Given a cell of 3 nodes and 6 workers
    And the processor time of each turn is measured
    When 1 s passes
    And a job "a" of <repeat> occurrences of <steps> steps of <tasks> tasks is submitted, due <due>
    And 4 s pass
    And a job "b" with steps of 2 tasks is submitted
    And 3 s pass
    Then job "b" is succeeded
    And no other node has coordinated
    When the coordinator is killed
    And 4 s pass
    And job "a" is cancelled
    And 1 s passes
    Then job "a" is cancelled
    And no turn took as long as a leader may be silent

    Examples:
      | repeat | steps | tasks  | due                           |
      | 30000  | 1     | 1      | one a minute until now        |
      | 5000   | 5     | 1      | one a minute until now        |
      | 20000  | 1     | 1      | one a millisecond in 2 s      |
      | 30000  | 1     | 1      | one a minute from tomorrow on |
      | 0      | 9000  | 1      | at once                       |
      | 0      | 1     | 100000 | at once                       |

  # Guards against a look at all workers for each task.
  Scenario: LOST: a step of many tasks on many workers does not depose each coordinator
    Given a cell of 3 nodes and 300 workers
    And the processor time of each turn is measured
    When 1 s passes
    And a job "a" of 20000 small tasks is submitted
    And 1 s passes
    Then no other node has coordinated
    And no turn took as long as a leader may be silent

  # Guards against a gang that is placed, or whose ends are recorded, in one turn.
  Scenario: LOST: a gang as large as the fleet does not depose each coordinator
    Given a cell of 3 nodes and 70 workers
    And the processor time of each turn is measured
    When 1 s passes
    And a gang "a" of 60000 small members is submitted
    And 3 s pass
    Then no other node has coordinated
    And no turn took as long as a leader may be silent

  # Guards against a walk over all members for each one that is lost.
  Scenario: LOST: the loss of a worker with very many members of a gang does not depose each coordinator
    Given a cell of 3 nodes and 6 workers
    And all tasks of the large job "a" take 30 s
    And task "a.0.0.0" crashes its worker after 0.3 s
    And the processor time of each turn is measured
    When 1 s passes
    And a gang "a" of 5900 small members is submitted
    And 8.5 s pass
    And a job "b" with steps of 2 tasks is submitted
    And 3 s pass
    Then job "b" is succeeded
    And no other node has coordinated
    And no turn took as long as a leader may be silent

  # Guards against a look at all steps of a job for each of them that ends.
  Scenario: LOST: a long list of dependencies does not depose each coordinator
    Given a cell of 3 nodes and 6 workers
    And the processor time of each turn is measured
    When 1 s passes
    And a job "a" of 1000 steps is submitted, each after the 70 steps before it
    And 4 s pass
    And a job "b" with steps of 2 tasks is submitted
    And 3 s pass
    Then job "b" is succeeded
    And no other node has coordinated
    And no turn took as long as a leader may be silent

  # Guards against a look at each mention of a step when it ends.
  Scenario: LOST: a step that names another one very often does not depose each coordinator
    Given a cell of 3 nodes and 6 workers
    And all tasks of the large job "a" take 0.2 s
    And the processor time of each turn is measured
    When 1 s passes
    And a job "a" of 2 steps is submitted, the second of which names the first 80000 times
    And 4 s pass
    Then job "a" is succeeded
    And no other node has coordinated
    And no turn took as long as a leader may be silent
