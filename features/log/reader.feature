Feature: Reading the log
  A node keeps its state up to date through outages and shortened retention.  It
  reports a gap when it misses records, and it knows when its state was last
  complete.

  Scenario Outline: A reader comes up to date after <event>
    Given a reader that follows a log of 50 records
    When <event> happens while records are logged
    Then within 3 s the state equals a full replay

    Examples:
      | event                  |
      | an outage of 1 s       |
      | an outage of 1 h       |
      | slow replies for 30 s  |
      | lost replies for 60 s  |

  Scenario: The age of the state is known during an outage
    Given a reader that follows a log of 50 records
    When an outage lasts for 20 s
    Then the state was fresh before the outage and its age grew to 20 s
    And the reader's status during the outage was "outage"

  Scenario: Records age out while a node is away
    Given a reader that follows a log of 50 records
    When the reader is cut off while 100 records, a snapshot and 20 records are logged
    And the log keeps only the last 40 entries
    Then within 3 s the state equals a full replay
    And the reader recorded 1 gap

  Scenario: Records age out and no snapshot covers them
    Given a reader that follows a log of 50 records
    When the reader is cut off while 100 records are logged
    And the log keeps only the last 40 entries
    Then the reader's failure is a LogGap and the state stays as it was
    When a node that has all records publishes a snapshot
    Then within 3 s the state equals a full replay

  Scenario: An incomplete set of parts is no snapshot
    Given a log whose newest snapshot lacks its last part
    When a node starts
    Then within 3 s the state equals a full replay
    And it started from the older snapshot

  Scenario: A node starts on a log whose beginning is gone
    Given a log of 3000 records with a snapshot before the last 500
    And the log keeps only the last 600 entries
    When a node starts
    Then within 3 s the state equals a full replay
    And it read at most 1700 entries

  Scenario: Catching up keeps to the byte budget
    Given a log of 4000 records
    When a node starts with a budget of 50000 bytes a second
    Then it read at most 50000 bytes a second and 2 pages more

  Scenario: A log that shrank is a failure
    Given a reader that follows a log of 50 records
    When the log is replaced by an empty one
    Then the reader's failure is a LogGap and the state stays as it was
