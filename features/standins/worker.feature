Feature: Worker stand-ins behave as the users' workers do

  Background:
    Given a worker with 4 cores, 8 GB and 2 slots

  Scenario: A worker starts what it is given, whether it fits or not
    When 3 tasks of 2 cores are started
    Then 3 tasks run on the worker
    And the observer sees "overcommit" once
    And the most that ran at once is 6 cores

  Scenario Outline: A task ends as its payload says
    When a task that <payload> is started
    And nothing but renewals is sent for <seconds> seconds
    Then the worker reports it as <state> with exit code <exit_code>

    Examples:
      | payload              | seconds | state     | exit_code |
      | runs for 30 s        | 29      | running   | 0         |
      | runs for 30 s        | 31      | succeeded | 0         |
      | fails after 30 s     | 31      | failed    | 3         |
      | runs until stopped   | 3600    | running   | 0         |

  Scenario Outline: A task without renewals stops when its lease lapses
    Given the worker's clock runs at <rate> times the true rate
    When a task that runs until stopped is started
    And nothing is sent for <seconds> seconds
    Then the worker reports it as <state> with exit code 0

    Examples: The lease is 10 seconds
      | rate | seconds | state   |
      | 1.0  | 9.95    | running |
      | 1.0  | 10.05   | lost    |
      | 0.99 | 10.05   | running |
      | 0.99 | 10.15   | lost    |
      | 1.01 | 9.95    | lost    |

  Scenario Outline: A worker is asked to stop a task
    When a task that <payload> is started
    And it is told to <mode> after 10 seconds
    And nothing but renewals is sent for <seconds> seconds
    Then the worker reports it as <state> with exit code 0
    And the checkpoint is "<checkpoint>"

    Examples:
      | payload                  | mode       | seconds | state     | checkpoint |
      | runs for 30 s            | stop       | 5       | cancelled |            |
      | runs for 30 s            | checkpoint | 5       | cancelled |            |
      | can be checkpointed      | checkpoint | 5       | cancelled | 11.000     |
      | runs for 30 s            | throttle   | 25      | running   |            |
      | runs for 30 s            | throttle   | 41      | succeeded |            |

  Scenario: A task resumes from its checkpoint
    When a task that runs for 30 s is resumed from checkpoint "20.0"
    And nothing but renewals is sent for 11 seconds
    Then the worker reports it as succeeded with exit code 0

  Scenario Outline: A worker checks what it is built to check
    Given the worker checks <checks>
    When epoch 2 of a unit starts one task
    And a start of epoch <epoch> arrives <late> seconds after its time
    Then the start is <outcome>

    Examples:
      | checks   | epoch | late | outcome                |
      | full     | 2     | -1   | obeyed                 |
      | full     | 1     | -1   | refused as stale-epoch |
      | full     | 2     | 1    | refused as not-after   |
      | fencing  | 1     | -1   | refused as stale-epoch |
      | fencing  | 2     | 1    | obeyed                 |
      | deadline | 1     | -1   | obeyed                 |
      | deadline | 2     | 1    | refused as not-after   |
      | none     | 1     | 1    | obeyed                 |

  Scenario Outline: A faulty worker
    Given the worker fault "<fault>"
    When a node starts a task on it
    Then the node's answer is <answer>
    And the task <ran>

    Examples:
      | fault               | answer                     | ran             |
      | none                | a reply                    | ran             |
      | fails everything    | a reply                    | failed          |
      | unreachable         | unreachable, nothing sent  | never started   |
      | paused              | unreachable, sent          | started later   |
      | slow                | unreachable, sent          | ran             |
      | answer lost         | unreachable, sent          | ran             |
      | request lost        | unreachable, sent          | never started   |
      | reply lost          | unreachable, sent          | ran             |
      | cut from the node   | unreachable, nothing sent  | never started   |

  Scenario: A start that arrives twice runs once
    When the same start arrives twice
    Then 1 tasks run on the worker
    And the observer sees no violation

  Scenario: A start that arrives again after the task's end does not run
    When the same start arrives again after its task was forgotten
    Then 0 tasks run on the worker
    And the observer counts 1 tasks

  Scenario: A worker answers as soon as a task has changed
    When a task that runs for 30 s is started
    And a sync waits up to 60 seconds for a change
    Then the sync answers after about 30 seconds

  Scenario: Usage is reported with a lag
    When a task that uses 3 cores is started
    Then its reported use is 0 cores after 4 seconds and 3 cores after 6

  Scenario: A paused worker makes no progress
    When a task that runs for 30 s is started
    And the worker is paused for 5 seconds
    And nothing but renewals is sent for 27 seconds
    Then the worker reports it as running with exit code 0

  Scenario: A call beyond the worker's connections is not sent
    When 65 calls arrive at once
    Then 64 of them are answered and 1 was not sent

  Scenario: A call is answered whole
    When a call with a body of its own takes 2 seconds
    Then the answer carries the body, the id and the attempt
