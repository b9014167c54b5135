Feature: Group commit
  One append carries the records of many callers.  A caller gets the offset of
  its confirmed record, or a failure that states whether the record may have been
  applied.

  Scenario: Many callers share few appends
    When 300 callers append over 2 s at an interval of 0.1 s
    Then at most 22 appends were sent
    And every caller has the offset of the entry with its record

  Scenario: A caller on an idle node waits for no interval
    When 1 caller appends over 0 s at an interval of 5 s
    Then the slowest caller waited at most 0.05 s

  Scenario Outline: <fault> changes no outcome
    Given the client's fault is "<fault>"
    When 60 callers append over 6 s at an interval of 0.1 s
    Then every caller has the offset of the entry with its record
    And the state holds every record once

    Examples:
      | fault                         |
      | replies lost after effect     |
      | replies lost, reading slow    |
      | an outage of 2 s              |
      | the log slow by 0.4 s         |

  Scenario Outline: <fault> on the way to the log
    Given the client's fault is "<fault>"
    When 60 callers append over 6 s at an interval of 0.1 s
    Then every caller has an offset at which the state holds its record
    And the state holds every record once

    Examples:
      | fault                         |
      | appends duplicated            |
      | replies lost and duplicates   |

  Scenario: An outage outlasts the callers
    Given the client's fault is "an outage of 60 s"
    When 30 callers append over 3 s at an interval of 0.1 s
    And the log has been available again for 30 s
    Then every caller has LogUnavailable
    And each record that "may have applied" is in the state once
    And no record that was never sent is in the state

  Scenario: A cancelled caller takes its record back
    Given the client's fault is "an outage of 20 s"
    When 10 callers append and the last 9 are cancelled after 1 s
    And the log has been available again for 30 s
    Then the state holds 1 record

  Scenario: Too many records wait
    Given the client's fault is "an outage of 60 s"
    And at most 20 callers may wait
    When 30 callers append over 1 s at an interval of 0.1 s
    Then 9 callers have Overloaded

  Scenario: A batch is retried unchanged until it is confirmed
    Given the client's fault is "replies lost after effect"
    When 5 callers append over 0 s at an interval of 0.1 s
    Then no two entries of one sequence number differ
