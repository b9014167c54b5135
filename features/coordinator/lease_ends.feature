Feature: What runs on a worker when its lease expires

  A worker needs some time to kill it.

  # Guards against a run that begins while the worker still kills the former one.
  Scenario Outline: TWICE: a task is not placed anew before its worker has killed the former run
    Given a cell of 4 nodes and 3 workers that need <kill> s to kill a run
    And the clocks of workers run at <rate> of the usual rate
    And calls to workers that are cut off fail after 0.01 s
    When 2 s pass
    And a job "a" with a long-running task is submitted
    And <at> s pass
    And <before> coordinators are killed 2 s apart
    And the worker of job "a" is cut off
    And <after> coordinators are killed 2 s apart
    And 20 s pass
    Then no two runs of job "a" overlap
    And task 0 of job "a" has begun 2 times

    Examples: With one coordinator and with several
      | kill | rate | at  | before | after |
      | 0    | 0.98 | 1   | 0      | 0     |
      | 0.2  | 0.98 | 1   | 0      | 0     |
      | 0.4  | 1    | 1   | 0      | 0     |
      | 0.4  | 0.98 | 1.5 | 0      | 0     |
      | 0.4  | 0.98 | 1   | 1      | 0     |
      | 0.4  | 0.98 | 1   | 0      | 1     |
      | 0.9  | 0.98 | 1   | 0      | 0     |
      | 0.9  | 0.98 | 1.5 | 1      | 0     |
      | 0.9  | 0.98 | 1   | 1      | 1     |

  Scenario Outline: TWICE: a successor waits until a worker that only the former coordinator reached has killed its runs
    Given a cell of 4 nodes and 8 workers that need <kill> s to kill a run
    And the clocks of workers run at 0.98 of the usual rate
    And calls to workers that are cut off fail after 0.01 s
    When 2 s pass
    And a job "a" with a long-running task is submitted
    And <at> s pass
    And the worker of job "a" is reached by the present coordinator alone
    And the coordinator is cut off from the other nodes and the store
    And 20 s pass
    Then no two runs of job "a" overlap
    And task 0 of job "a" has begun 2 times

    Examples:
      | kill | at  |
      | 0    | 1   |
      | 0.4  | 1   |
      | 0.9  | 1   |
      | 0.9  | 1.2 |
      | 0.9  | 1.4 |
