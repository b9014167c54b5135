Feature: Takeover of a job home

  The successor of a home that died loads the jobs from the log.  The inventories
  of the racks say where the tasks run.  Until all of them have arrived, tasks
  without an outcome are unsure.

  Scenario: A job accepted just before its home dies
    Given a fleet of one rack
    When a job of 6 tasks that run 5 s comes to ledger
    And the job's home dies
    Then within 60 s the job has ended with 6 succeeded
    And each task was started once
    And every guarantee held

  Scenario Outline: Tasks of <queue> that no worker runs any more
    Given a fleet of one rack
    And 4 tasks of <queue> that run 60 s
    When the job's home and every worker die, and the workers return after 5 s
    Then within 150 s the job has ended with 4 <state>
    And <starts> tasks were started
    And every guarantee held

    Examples:
      | queue   | state     | starts |
      | ledger  | succeeded | 8      |
      | billing | unknown   | 4      |

  Scenario: A home dies while the rack's owner hangs
    Given a fleet of one rack
    And 6 tasks of ledger that run 40 s
    When the job's home dies, and the rack's owner hangs for 4 s
    Then within 90 s the job has ended with 6 succeeded
    And each task was started once
    And every guarantee held

  Scenario: The inventories of a rack's owner are lost
    Given a fleet of one rack
    And 6 tasks of ledger that run 40 s
    And the next 12 InventoryReply messages are lost
    When the job's home dies
    Then within 90 s the job has ended with 6 succeeded
    And each task was started once
    And every guarantee held

  Scenario: The failures of a running task are known to the next home
    Given a fleet of one rack
    And 1 tasks of ledger that run 60 s
    When task 0 of the job fails
    And all members run again and task 0 of the job fails
    And all members run again
    And the job's home dies
    And 30 s pass
    And task 0 of the job fails
    Then within 10 s the job has ended with 1 failed
    And 3 tasks were started

  # Guards against attempts without end
  Scenario: BUDGET: attempts are counted beyond changes of the owner and the home
    Given a fleet of one rack
    And 1 tasks of ledger that run 300 s
    When task 0 of the job fails
    And all members run again and task 0 of the job fails
    And all members run again
    And the owner of the rack dies
    And 30 s pass
    And the job's home dies
    And 30 s pass
    And task 0 of the job fails
    Then within 30 s the job has ended with 1 failed
    And 3 tasks were started

  Scenario: LOST: a home that has handed the attempts out knows which have failed
    Given a fleet of one rack
    And 1 tasks of ledger that run 300 s
    When the job loses a worker 2 times, each for 40 s
    And the owner of the rack dies
    And 30 s pass
    And task 0 of the job fails
    And all members run again
    Then 4 tasks were started

  Scenario: Earlier versions do not count failures
    Given a task that is handed out after 2 failures
    Then an earlier version reads its messages
    And the messages of an earlier version do not tell the failures
