Feature: How jobs end

  Scenario: A job is cancelled while some of its tasks run
    Given a fleet of one rack
    When a job of 200 tasks that run 300 s comes to ledger
    And 10 s pass
    And the job is cancelled
    Then within 10 s the job has ended with 200 cancelled
    And nothing runs
    And every guarantee held

  Scenario: A wave of cancellations
    Given a fleet of one rack
    When 40 jobs of 20 tasks that run 300 s come to ledger
    And 10 s pass
    And every job is cancelled at once
    Then within 20 s every job has ended with 20 cancelled
    And nothing runs
    And no task was started after the cancellations
    And the cancellations took at most 80 log entries

  Scenario Outline: Tasks of <queue> on workers that fail every task
    Given a fleet of one rack
    And every worker fails every task
    When a job of 1 tasks that run 5 s comes to <queue>
    Then within 120 s the job has ended with 1 failed
    And <starts> tasks were started
    And the time between starts grows

    Examples:
      | queue   | starts |
      | ledger  | 3      |
      | billing | 1      |

  # Guards against counting interrupted runs as attempts
  Scenario: LOST: a task that lost its workers has all its attempts left
    Given a fleet of one rack
    And 1 tasks of ledger that run 20 s
    When the job loses a worker 2 times, each for 40 s
    And task 0 of the job fails
    Then within 60 s the job has ended with 1 succeeded
    And 4 tasks were started

  # Guards against taking the report of one attempt for that of the next
  Scenario Outline: LOST: a task fails while the store is down for <outage> s
    Given a fleet of three nodes
    And 2 tasks of ledger that run 60 s
    And tasks that start later run <share> times as long
    When the store is down for <outage> s while task 0 ends and task 1 fails
    Then within 120 s the job has ended with 2 succeeded
    And 3 tasks were started

    Examples:
      | outage | share |
      | 4      | 1     |
      | 8      | 1     |
      | 10     | 1     |
      | 14     | 1     |
      | 8      | 0.01  |
      | 10     | 0.01  |

  # Guards against an acknowledgement that outlives its attempt
  Scenario Outline: TWICE: an acknowledgement is not taken for the next attempt's
    Given a fleet of three nodes
    And 1 tasks of ledger that run 60 s
    And tasks that start later run 0.01 times as long
    And the answers to the next <count> acknowledgements of workers are lost
    When task 0 of the job fails
    Then within 60 s the job has ended with 1 succeeded
    And 2 tasks were started

    Examples:
      | count |
      | 0     |
      | 1     |
