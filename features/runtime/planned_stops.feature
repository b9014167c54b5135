Feature: Planned stops

  A stop of a worker or a node that was announced cuts off nothing.

  Scenario: A leaving worker finishes what it runs
    Given a fleet of one rack
    And 4 tasks of ledger that run 30 s
    When a worker of the job is listed as leaving
    And 3 s pass
    And 30 calls to order-status are made
    And a job of 6 tasks that run 5 s comes to ledger
    Then within 40 s the job has ended with 6 succeeded
    And the leaving worker got no new work
    And within 40 s the first job has ended with 4 succeeded
    And each task was started once

  Scenario Outline: Nodes that leave in turn, <fleet>
    Given a fleet of <fleet>
    And 3 running watchers
    When calls come for 30 s while each node in turn stops and starts again
    Then every call was answered
    And no watcher was restarted
    And every guarantee held

    Examples:
      | fleet       |
      | three racks |
      | one rack    |
