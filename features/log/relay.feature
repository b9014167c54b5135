Feature: Relaying the log into a region without the store
  One node of the region, the relay, reads from the store; the other nodes read
  from the relay.

  Background:
    Given a store in region a and 5 nodes in region b

  Scenario: One node reads from the store
    When 5 records are logged every second for 60 s
    Then every node's state equals the log's
    And only the relay read from the store in the last 50 s
    And the link carried each record once

  Scenario: The relay dies
    When 5 records are logged every second for 20 s
    And the relay dies and 5 records are logged every second for 20 s
    Then every node's state equals the log's
    And every node is at most 2.5 s behind within 10 s of the fault
    And only the relay read from the store in the last 5 s

  Scenario: The relay hangs and the others still believe it alive
    When 5 records are logged every second for 20 s
    And the relay pauses and 5 records are logged every second for 30 s
    Then every running node has the log's state
    And every running node was at most 6 s behind
    And the others read at least half of the records through another relay

  Scenario: The relay alone is cut off from the store
    When 5 records are logged every second for 20 s
    And the relay is cut off from the store and 5 records a second for 30 s
    Then every other node's state equals the log's
    And every other node was at most 8 s behind

  Scenario: A state read through the relay is as old as the relay's state
    When 5 records are logged every second for 20 s
    And the store is down for 20 s
    Then no node reports that its state is younger than 19 s

  Scenario: A node was away for longer than the relay's buffer covers
    Given the relay keeps 3000 bytes of entries
    When node 3 is away while 200 records are logged
    Then every node's state equals the log's

  Scenario: Peers carry the log byte for byte
    When 5 records are logged every second for 20 s
    Then the entries that each node applied are the log's

  Scenario: A node that starts takes its state from a neighbour
    When 2000 records are logged with a snapshot in the middle
    And node 3 starts again
    Then every node's state equals the log's
    And node 3 read at most 500 bytes from the store

  Scenario: The neighbour dies while it sends its state
    When 2000 records are logged with a snapshot in the middle
    And node 3 starts again and its first neighbour fails at once
    Then every node's state equals the log's

  Scenario: Records are gone that no snapshot in the log covers
    When 5 records are logged every second for 20 s
    And node 3 is away while 200 records are logged and all but 20 age out
    Then every node's state equals the log's
    And node 3 read at most 500 bytes from the store

  Scenario: All nodes start at one time on a long log
    When 2000 records are logged with a snapshot in the middle
    And every node starts again
    Then every node's state equals the log's
