Feature: Tasks that crash the workers that start them

  Scenario: BUDGET: a task that crashes each worker that starts it is given up
    Given a cell of 1 nodes and 8 workers
    And task "a.0.0.0" crashes its worker after 0.01 s
    When a job "a" with steps of 3 tasks is submitted
    And 30 s pass
    Then job "a" is failed
    And task "a.0.0.0" has been started 3 times

  Scenario: BUDGET: a task that crashes its workers late is given up, too
    Given a cell of 1 nodes and 8 workers
    And task "a.0.0.0" crashes its worker after 3.5 s
    When a job "a" with steps of 3 tasks is submitted
    And 50 s pass
    Then job "a" is failed
    And task "a.0.0.0" has been started 5 times

  Scenario: BUDGET: crashes are counted beyond a change of the coordinator
    Given a cell of 5 nodes and 8 workers
    And task "a.0.0.0" crashes its worker after 0.01 s
    When a job "a" with steps of 3 tasks is submitted
    And 4 s pass
    And the coordinator is killed
    And 4 s pass
    And the coordinator is killed
    And 30 s pass
    Then job "a" is failed
    And task "a.0.0.0" has been started at most 5 times

  Scenario: BUDGET: a crash is counted if the coordinator is lost with the worker
    Given a cell of 6 nodes and 8 workers
    And workers are back 0.1 s after a crash
    And task "a.0.0.0" crashes its worker after 0.01 s
    And the coordinator is killed after each start of task "a.0.0.0", 4 times
    When a job "a" with steps of 3 tasks is submitted
    And 60 s pass
    Then job "a" is failed
    And task "a.0.0.0" has been started at most 5 times

  Scenario: BUDGET: workers that do not come back are counted
    Given a cell of 1 nodes and 8 workers
    And workers stay down after a crash
    And task "a.0.0.0" crashes its worker after 0.01 s
    When a job "a" with steps of 3 tasks is submitted
    And 40 s pass
    Then job "a" is failed
    And task "a.0.0.0" has been started 3 times

  Scenario: BUDGET: a crash is counted when the worker returns under its name
    Given a cell of 1 nodes and 8 workers
    And workers are back 8 s after a crash
    And task "a.0.0.0" crashes its worker after 0.01 s
    When a job "a" with steps of 3 tasks is submitted
    And 40 s pass
    Then job "a" is failed
    And task "a.0.0.0" has been started 3 times

  Scenario: BUDGET: a crash is counted when another worker takes the address
    Given a cell of 1 nodes and 8 workers
    And workers stay down after a crash
    And 6 s after a crash another worker takes the address
    And task "a.0.0.0" crashes its worker after 0.01 s
    When a job "a" with steps of 3 tasks is submitted
    And 21 s pass
    Then job "a" is failed
    And task "a.0.0.0" has been started 3 times

  Scenario: BUDGET: a crash is counted if the coordinator is lost before the return
    Given a cell of 6 nodes and 8 workers
    And workers are back 8 s after a crash
    And task "a.0.0.0" crashes its worker after 0.01 s
    When a job "a" with steps of 3 tasks is submitted
    And 6 s pass
    And the coordinator is killed
    And 10 s pass
    And the coordinator is killed
    And 10 s pass
    And the coordinator is killed
    And 60 s pass
    Then job "a" is failed
    And task "a.0.0.0" has been started at most 5 times

  # Guards against taking the silence of a worker for its crash.
  Scenario Outline: LOST: a job is not given up because its workers are cut off
    Given a cell of 1 nodes and 12 workers
    And tasks of job "a" take 8 s
    And the worker of each of the first <starts> starts of job "a" is cut off <after> s later for <cut> s
    When a job "a" of one <kind> task is submitted
    And <wait> s pass
    Then job "a" is <status>
    And job "a" has a run that was not cut off

    Examples:
      | kind         | starts | after | cut | wait | status    |
      | plain        | 3      | 0.5   | 5.5 | 40   | succeeded |
      | plain        | 8      | 0.5   | 5.5 | 70   | succeeded |
      | plain        | 8      | 2.5   | 5.5 | 90   | succeeded |
      | long-running | 8      | 0.5   | 5.5 | 70   | running   |

  # Guards against taking the silence of a worker for its crash.
  Scenario: LOST: a task is on hold while three of its workers are silent
    Given a cell of 1 nodes and 12 workers
    And tasks of job "a" take 8 s
    And the worker of each of the first 3 starts of job "a" is cut off 0.5 s later for 18 s
    When a job "a" of one plain task is submitted
    And 16 s pass
    Then job "a" is running
    And task "a.0.0.0" has been started 3 times
    And the task was logged as held
    When 30 s pass
    Then job "a" is succeeded
    And task "a.0.0.0" has been started 4 times

  # Guards against counting one run several times.
  Scenario: LOST: a worker that restarts again and again counts once for a run
    Given a cell of 3 nodes and 2 workers
    And tasks of job "a" take 8 s
    When a job "a" of one plain task is submitted
    And 0.5 s pass
    And the worker of job "a" is restarted 3 times, 0.02 s apart
    And the coordinator is killed
    And 30 s pass
    Then job "a" is succeeded
    And task "a.0.0.0" has been started 2 times

  # Guards against counting a run that the next life has started.
  Scenario: LOST: a run that a worker's next life has ended is no crash
    Given a cell of 1 nodes and 1 worker
    And tasks of job "a" take 0.05 s
    When 1 s passes
    And orders to workers take 0.3 s in transit
    And a job "a" of one plain task is submitted
    And 0.1 s pass
    And the tasks of job "a" are observed
    And all workers are restarted
    And 2 s pass
    Then job "a" is succeeded
    And no crash counts against the observed tasks

  # Guards against a hold without an end.
  Scenario: BUDGET: a task is given up when its last run ends otherwise
    Given a cell of 2 nodes and 2 workers
    And tasks of job "a" take 2 s
    When 1 s passes
    And a job "a" of one plain task is submitted
    And 0.5 s pass
    And 3 crashes of its workers count against task "a.0.0.0", whose run is stopped
    And 3 s pass
    Then job "a" is failed

  Scenario Outline: A crash counts once, and against a run that was ordered
    Given a worker that has listed a run of a plain task 0 s after its start
    And its run <what>
    When the worker crashes
    And the worker crashes
    Then the score of the task is <score>

    Examples:
      | what                                  | score |
      | was ordered                           | 2     |
      | was not ordered yet                   | 0     |
      | was counted by an earlier coordinator | 0     |

  # Guards against a hold that ends with the coordinator.
  Scenario: LOST: a task on hold is released by a later coordinator
    Given a cell of 5 nodes and 12 workers
    And tasks of job "a" take 8 s
    And the worker of each of the first 3 starts of job "a" is cut off 0.5 s later for 18 s
    When a job "a" of one plain task is submitted
    And 16 s pass
    And the coordinator is killed
    And 30 s pass
    Then job "a" is succeeded
    And task "a.0.0.0" has been started 4 times

  # Guards against taking a departure for a crash.
  Scenario: LOST: a worker that has left as announced has not crashed
    Given a worker that has listed a run of a plain task 0 s after its start
    And the worker announced that it leaves
    When the worker is silent until its leases are over
    Then the task has no silent loss

  Scenario: Jobs beside a task that crashes its workers are not given up
    Given a cell of 1 nodes and 4 workers
    And task "a.0.0.0" crashes its worker after 0.01 s
    And tasks of job "b" take 0.8 s
    When a job "b" with steps of 24 tasks is submitted
    And a job "a" with steps of 3 tasks is submitted
    And 40 s pass
    Then job "a" is failed
    And job "b" is succeeded

  Scenario Outline: What a crash counts against a task
    Given a worker that has listed a run of a <kind> task <age> s after its start
    When the worker crashes
    Then the score of the task is <score>

    Examples:
      | kind         | age | score |
      | plain        | 0   | 2     |
      | plain        | 0.9 | 2     |
      | plain        | 1.1 | 1     |
      | long-running | 0.9 | 2     |
      | long-running | 1.1 | 0     |

  Scenario: Tasks under which workers have crashed are kept apart
    Given 4 workers with room for 4 tasks
    And a step of 3 tasks under which workers have crashed
    When the step is placed
    Then no two of its tasks share a worker
    And a new task is placed on the remaining worker
