Feature: Jobs whose records would be longer than the store allows

  # Guards against one record for all tasks of a step.
  Scenario Outline: LOST: a step of many tasks does not stop other work
    Given a cell of 2 nodes and 40 workers
    And the store takes records of <bytes> bytes
    And all tasks of the large job "a" take 0.2 s
    When 1 s passes
    And a job "a" with steps of <tasks> tasks is submitted
    And 3 s pass
    And a job "b" with steps of 2 tasks is submitted
    And 8 s pass
    Then job "b" is succeeded
    And the store has refused nothing
    When <rest> s pass
    Then job "a" is succeeded
    And each task of job "a" ran once
    And the records of the steps of job "a" are gone

    Examples:
      | bytes  | tasks | rest |
      | 20000  | 2000  | 5    |
      | 262144 | 6000  | 15   |

  Scenario: LOST: a successor goes on with a step of many tasks
    Given a cell of 5 nodes and 40 workers
    And the store takes records of 20000 bytes
    And all tasks of the large job "a" take 0.2 s
    When 1 s passes
    And a job "a" with steps of 3000 tasks is submitted
    And 1.5 s pass
    And the coordinator is killed
    And 4 s pass
    And the coordinator is killed
    And 20 s pass
    Then job "a" is succeeded
    And the store has refused nothing
    And no task of job "a" was started after its success

  Scenario: The tasks of a job that has ended are not kept
    Given a cell of 2 nodes and 4 workers
    And all tasks of the large job "a" take 0.2 s
    When 1 s passes
    And a job "a" with steps of 250 tasks is submitted
    And 30 s pass
    Then job "a" is succeeded
    And the coordinator keeps no task of job "a"

  Scenario: The record of an earlier version is read and divided
    Given a cell of 2 nodes and 4 workers
    And all tasks of the large job "a" take 3 s
    When 1 s passes
    And a job "a" with steps of 250 tasks is submitted
    And 1 s pass
    And the store holds one record for all tasks of job "a"
    And the coordinator is killed
    And 4 s pass
    Then the first record of job "a" holds 100 tasks
    When 60 s pass
    Then job "a" is succeeded
    And no task of job "a" was started after its success

  Scenario: LOST: a job of many steps is stored in parts
    Given a cell of 3 nodes and 8 workers
    And the store takes records of 20000 bytes
    And all tasks of the large job "a" take 0.2 s
    When 1 s passes
    And a job "a" of 2000 steps is submitted
    And 1 s pass
    And the coordinator is killed
    And 20 s pass
    Then job "a" is succeeded
    And the store has refused nothing
    And the store holds no part of the record of job "a"

  Scenario: A job whose record lacks a part is kept as it is
    Given a cell of 3 nodes and 8 workers
    And the store takes records of 20000 bytes
    And all tasks of the large job "a" take 30 s
    When 1 s passes
    And a job "a" of 2000 steps is submitted
    And the record "p/a/1" is lost
    And the coordinator is killed
    And 3 s pass
    Then one node coordinates
    And requests about job "a" fail as unreadable

  Scenario: Checkpoints that do not fit into a record are left out
    Given a step of 100 tasks with checkpoints of 4000 bytes
    When the step is encoded for records of 262144 bytes
    Then its record has at most 262144 bytes
    And the tasks in its record have no checkpoints

  # Guards against an append that is repeated without end.
  Scenario: LOST: a record that the store refuses for good holds up no other
    Given a cell of 3 nodes and 4 workers
    When 1 s passes
    And the store refuses the record "j/bad" for good
    And jobs "a", "bad" and "b" are submitted at the same moment
    Then jobs "a" and "b" are accepted
    And the reply about job "bad" is "records-refused"
    When 4 s pass
    Then job "a" is succeeded
    And job "b" is succeeded
    And no task of job "bad" has run
    And the refusal of the record "j/bad" was logged

  Scenario: LOST: a step whose record is refused for good holds up no other
    Given a cell of 3 nodes and 4 workers
    When 1 s passes
    And the store refuses the record "s/a.0.0" for good
    And a job "a" with steps of 2 tasks is submitted
    And a job "b" with steps of 2 tasks is submitted
    And 3 s pass
    Then job "b" is succeeded
    And no task of job "a" has run
    When the store refuses no record
    And 8 s pass
    Then job "a" is succeeded

  Scenario Outline: A job that is too large is refused at once
    Given a cell of 2 nodes and 1 worker
    When 1 s passes
    And a job "a" of <steps> steps of <tasks> tasks, repeated <repeat> times, is submitted
    Then it is refused as "job-too-large"
    And requests about job "a" are answered that there is none

    Examples:
      | steps | tasks      | repeat |
      | 1     | 100001     | 0      |
      | 1     | 1000000000 | 0      |
      | 2     | 60000      | 0      |
      | 1     | 10         | 10001  |
      | 40000 | 1          | 0      |
