Feature: Takeover of a job home

  A home dies.  Its successor knows the jobs from the log, and where their tasks
  run from the racks' inventories; until it has them all it is unsure.

  Scenario: A job accepted just before its home dies
    Given a fleet of one rack
    When a job of 6 tasks that run 5 s comes to ledger
    And the job's home dies
    Then within 60 s the job has ended with 6 succeeded
    And each task was started once
    And every guarantee held

  Scenario Outline: Tasks of <queue> that no worker has any more
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

  Scenario: A home dies while the rack's owner stands still
    Given a fleet of one rack
    And 6 tasks of ledger that run 40 s
    When the job's home dies, and the rack's owner stands still for 4 s
    Then within 90 s the job has ended with 6 succeeded
    And each task was started once
    And every guarantee held

  Scenario: A rack's owner that cannot tell its inventory
    Given a fleet of one rack
    And 6 tasks of ledger that run 40 s
    And the next 12 InventoryReply messages are lost
    When the job's home dies
    Then within 90 s the job has ended with 6 succeeded
    And each task was started once
    And every guarantee held
