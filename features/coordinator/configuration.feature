Feature: Distribution of the configuration to the nodes

  The coordinator reads the configuration from the store.  The other nodes get
  it from the coordinator, with its age.

  Scenario: The other nodes get the configuration from the coordinator alone
    Given a cell of 5 nodes and 1 worker
    When 2 s pass
    And version 2 of the configuration is published
    And 0.7 s pass
    Then every node has version 2 of the configuration
    And only the coordinator has read the configuration from the store
    And no node's configuration is older than 2 s

  Scenario: After several versions in quick succession all nodes have the newest
    Given a cell of 5 nodes and 1 worker
    When 2 s pass
    And versions 2 to 9 of the configuration are published 0.1 s apart
    And 0.7 s pass
    Then every node has version 9 of the configuration
    And only the coordinator has read the configuration from the store

  Scenario: A node that is cut off from the other nodes reads the store itself
    Given a cell of 3 nodes and 1 worker
    When 2 s pass
    And a node that does not coordinate is cut off from the others
    And version 2 of the configuration is published
    And 2.2 s pass
    Then every node has version 2 of the configuration
    And no node's configuration is older than 3 s

  Scenario: A node that is cut off from the other nodes is confirmed at once
    Given a cell of 3 nodes and 1 worker
    When 2 s pass
    And a node that does not coordinate is cut off from the others
    Then for 5 s no node's configuration is older than 2 s

  Scenario: A node that cannot reach the store gets the configuration from the others
    Given a cell of 3 nodes and 1 worker
    When 2 s pass
    And a node that does not coordinate is cut off from the store
    And version 2 of the configuration is published
    And 4 s pass
    Then every node has version 2 of the configuration
    And no node's configuration is older than 2 s

  Scenario: While the store is down, the configuration's age grows on every node
    Given a cell of 3 nodes and 1 worker
    When 2 s pass
    And the store is down
    And 6 s pass
    Then every node's configuration is at least 5 s old
    And every node has logged that its configuration is out of date
    When the store is up
    And 3 s pass
    Then every node has logged that its configuration is confirmed again

  Scenario: Nothing is placed before the caps are known
    Given a cell of 1 node without a configuration and 3 workers
    When 2 s pass
    And a job "a" of the capped team with 6 tasks is submitted
    And 1 s passes
    And version 1 of the configuration is published
    And 8 s pass
    Then job "a" is succeeded
    And at most 2 tasks of job "a" ran at a time

  Scenario: A new node soon has the configuration in force
    Given a cell of 3 nodes and 1 worker
    When 2 s pass
    And version 2 of the configuration is published
    And 1 s passes
    And a node without a configuration starts
    And 0.3 s pass
    Then every node has version 2 of the configuration

  Scenario: A change of the coordinator delays a new configuration only briefly
    Given a cell of 3 nodes and 1 worker
    When 2 s pass
    And the coordinator is killed
    And version 2 of the configuration is published
    And 2.2 s pass
    Then every node has version 2 of the configuration

  # Guards against placing by the queue as it was when the job was accepted.
  Scenario Outline: LOST: a job goes to the service that its queue is sent to
    Given a cell of <nodes> nodes and 2 workers
    And 2 workers of service "annex"
    And long-running tasks fill the service of the queue
    When a job "a" with steps of 4 tasks is submitted
    And 1 s pass
    And version 2 sends the queue to service "<second>"
    And <kills> coordinators are killed 3 s apart
    And version 3 sends the queue to service "annex"
    And 6 s pass
    Then job "a" is succeeded
    And all tasks of job "a" ran on service "annex"

    Examples:
      | nodes | kills | second |
      | 1     | 0     | annex  |
      | 1     | 0     | void   |
      | 5     | 1     | annex  |
      | 6     | 2     | void   |

  Scenario: LOST: a queue that is dropped keeps the service that it had last
    Given a cell of 5 nodes and 2 workers
    And long-running tasks fill the service of the queue
    When a job "a" with steps of 4 tasks is submitted
    And 1 s pass
    And version 2 sends the queue to service "annex"
    And 1 s pass
    And version 3 drops the queue
    And 1 s pass
    And 1 coordinators are killed 3 s apart
    And 2 workers of service "annex" join
    And 6 s pass
    Then job "a" is succeeded
    And all tasks of job "a" ran on service "annex"

  Scenario: LOST: a queue that comes back sends its jobs where it says
    Given a cell of 1 nodes and 2 workers
    And 2 workers of service "annex"
    And long-running tasks fill the service of the queue
    When a job "a" with steps of 4 tasks is submitted
    And 1 s pass
    And version 2 drops the queue
    And 1 s pass
    And version 3 sends the queue to service "annex"
    And 4 s pass
    Then job "a" is succeeded
    And all tasks of job "a" ran on service "annex"

  Scenario: LOST: the rest of a step runs on the service that its queue is sent to
    Given a cell of 1 nodes and 1 worker
    And 2 workers of service "annex"
    And tasks of job "a" take 3 s
    When a job "a" with steps of 12 tasks is submitted
    And 1 s pass
    And version 2 sends the queue to service "annex"
    And 6 s pass
    Then job "a" is succeeded
    And 8 tasks of job "a" ran on service "desk" and 4 on service "annex"

  Scenario: The attempts in force count, not those on acceptance
    Given a cell of 1 nodes and 2 workers
    And task "a.0.0.0" always fails
    When a job "a" with steps of 1 tasks is submitted
    And version 2 allows 9 attempts
    And 3.5 s pass
    And task "a.0.0.0" fails no more
    And 4 s pass
    Then job "a" is succeeded

  Scenario: ROUTE: a coordinator with an older version does not move a job back
    Given a cell of 5 nodes and 2 workers
    And 2 workers of service "annex"
    When a job "a" is submitted by a node with version 5, which sends the queue to service "annex"
    And 4 s pass
    Then job "a" is succeeded
    And all tasks of job "a" ran on service "annex"

  # Guards against starts by a configuration that may no longer be in force.
  Scenario: ROUTE: nothing starts by a configuration that is out of date
    Given a cell of 1 nodes and 2 workers
    And 2 workers of service "annex"
    When 2 s pass
    And the coordinator's reads of the configuration get no reply
    And version 2 sends the queue to service "annex"
    And 5 s pass
    And a job "a" with steps of 2 tasks is submitted
    And 2 s pass
    Then no task of job "a" has run
    When the coordinator's reads of the configuration get replies again
    And 6 s pass
    Then job "a" is succeeded
    And all tasks of job "a" ran on service "annex"

  Scenario: ROUTE: an order that waited for the store goes by the newest version
    Given a cell of 1 nodes and 2 workers
    And 2 workers of service "annex"
    When 2 s pass
    And a job "a" is submitted and the next 4 appends are lost
    And version 2 sends the queue to service "annex"
    And 9 s pass
    Then job "a" is succeeded
    And all tasks of job "a" ran on service "annex"
