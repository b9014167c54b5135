Feature: The log stand-in fails as the platform's log does

  Scenario Outline: An append under a fault
    Given a log service and a client of it
    And the log fault "<fault>"
    When the client appends an entry
    Then the append's answer is "<answer>"
    And <entries> entries are in the log in the end

    Examples:
      | fault             | answer           | entries |
      | none              | offset 1         | 1       |
      | answer lost       | may have applied | 1       |
      | all answers lost  | may have applied | 1       |
      | duplicated append | offset 2         | 2       |
      | cut               | may have applied | 0       |
      | outage            | not applied      | 0       |
      | slow              | may have applied | 1       |
      | node paused       | may have applied | 1       |

  Scenario: The log takes several hundred appends a second
    Given a log service and a client of it
    When 800 entries are appended at once
    Then the last answer comes after about 2 seconds
    And 800 entries are in the log in the end

  Scenario: Appends beyond the backlog are refused without effect
    Given a log service and a client of it
    When 3000 entries are appended at once
    Then 2000 entries or a few more are in the log in the end

  Scenario Outline: The log keeps entries for a limited time
    Given a log service that keeps <kept>
    When 10 entries of 100 bytes are appended, one a minute
    Then the first retained offset is <first>
    And a reader from offset 1 gets <entries> entries and sees the gap

    Examples:
      | kept          | first | entries |
      | 4 entries     | 7     | 0       |
      | 300 bytes     | 8     | 0       |
      | 150 seconds   | 9     | 0       |

  Scenario: A reader waits for the next entry
    Given a log service and a client of it
    When a reader waits 30 seconds for an entry that is appended after 10
    Then the reader got a page of 1 after about 10 seconds

  Scenario: A reader that waits in vain gets an empty page
    Given a log service and a client of it
    When a reader waits 30 seconds for an entry that is never appended
    Then the reader got a page of 0 after about 30 seconds
