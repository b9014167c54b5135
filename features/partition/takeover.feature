Feature: Takeover of a partition

  A rack's owner dies or is paused.  Its successor adopts the running tasks,
  starts no task twice, and starts lost tasks again only after their leases have
  lapsed.

  Scenario Outline: The <role> killed while tasks run
    Given a fleet of one rack
    And 3 running watchers
    And 6 tasks of ledger that run 40 s
    When the <role> is killed
    Then within 30 s a new task starts
    And no watcher was restarted
    And within 90 s the first job has ended with 6 succeeded
    And 10 tasks were started
    And every guarantee held

    Examples:
      | role                         |
      | partition owner              |
      | job home                     |
      | partition owner and job home |

  Scenario Outline: An owner killed with starts of <queue> in flight
    Given a fleet of one rack
    When the rack's owner is killed with starts of 8 <queue> tasks in flight
    Then within 120 s the job has ended with only <outcomes>
    And every guarantee held

    Examples:
      | queue   | outcomes             |
      | inspect | succeeded            |
      | billing | succeeded or unknown |

  Scenario: A worker lost together with its owner
    Given a fleet of one rack
    And 8 tasks of inspect that run 30 s
    When the partition owner and a worker die together
    Then the lost tasks start again after at least 15 s and within 60 s
    And within 120 s the job has ended with 8 succeeded
    And every guarantee held

  Scenario Outline: A start held back by a paused owner, workers check <checks>
    Given one rack of workers that check <checks>
    And 3 running watchers
    When the rack's owner is paused for 40 s with starts of 6 inspect tasks in flight
    And 90 s pass
    Then the held back starts were <outcome>
    And no watcher was restarted
    And within 90 s the job has ended with 6 succeeded

    Examples:
      | checks        | outcome                                     |
      | fencing       | rejected                                    |
      | the deadline  | rejected                                    |
      | nothing       | run beside their new attempts until stopped |

  Scenario: A worker cut off when its owner dies
    Given a fleet of one rack
    And 8 tasks of ledger that run 30 s
    When the partition owner dies and a worker is cut off from all for 60 s
    Then within 120 s the job has ended with 8 succeeded
    And every guarantee held
