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
