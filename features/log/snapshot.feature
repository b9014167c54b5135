Feature: Publishing snapshots
  A new snapshot of the state is published before the oldest record that it
  replaces ages out.  Its parts use a limited share of the appends.

  Scenario: Nothing is lost over many retention times
    Given a log that keeps 60 s of entries
    And 3 nodes that publish snapshots for a retention of 60 s
    When 2 records are logged every second for 10 minutes
    And a node starts
    Then within 3 s the state equals that of the nodes
    And at most 40 snapshots were published

  Scenario: An idle log keeps its state
    Given a log that keeps 60 s of entries
    And 3 nodes that publish snapshots for a retention of 60 s
    When 20 records are logged and nothing follows for 10 minutes
    And a node starts
    Then within 3 s the state equals that of the nodes

  Scenario: The publisher leaves, and another takes its turn
    Given a log that keeps 200 s of entries
    And 3 nodes that publish snapshots for a retention of 200 s
    When the node that publishes first stops
    And 2 records are logged every second for 10 minutes
    And a node starts
    Then within 3 s the state equals that of the nodes

  Scenario: The publisher keeps to its share of the appends
    Given a state of 2000000 incompressible bytes
    When it is published with 20 percent of 100 appends a second
    Then its parts are at least 0.05 s apart
    And each part is below 262144 bytes
