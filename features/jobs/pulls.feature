Feature: Handing tasks out

  The owner of a rack requests tasks from a home.  Requests and replies are lost,
  repeated and delayed, but no task is lost and none starts twice.

  Scenario Outline: Lost <message> messages
    Given a fleet of one rack
    And the next <count> <message> messages are lost
    When a job of 6 tasks that run 5 s comes to <queue>
    Then within 40 s the job has ended with 6 succeeded
    And each task was started once
    And every guarantee held

    Examples:
      | message      | count | queue   |
      | PullAsk      | 1     | inspect |
      | PullAsk      | 3     | billing |
      | PullReply    | 1     | inspect |
      | PullReply    | 4     | billing |
      | TaskEvents   | 3     | inspect |
      | EventsTaken  | 3     | billing |
      | DemandUpdate | 6     | inspect |

  Scenario: A repeated request gets the same reply
    Given a fleet without room, with pull requests sent by the scenario
    And a job of 5 tasks came to billing
    When the rack requests 2 tasks under sequence number 1
    And the rack requests 2 tasks under sequence number 1
    Then both replies contain the same 2 tasks
    And 3 tasks are still pending

  Scenario: The next request gets other tasks
    Given a fleet without room, with pull requests sent by the scenario
    And a job of 5 tasks came to billing
    When the rack requests 2 tasks under sequence number 1
    And the rack requests 2 tasks under sequence number 2
    Then the replies have no task in common
    And 1 tasks are still pending

  Scenario Outline: An outdated request is refused
    Given a fleet without room, with pull requests sent by the scenario
    And a job of 5 tasks came to billing
    When the rack requests 2 tasks under sequence number 7
    And the rack requests 2 tasks <outdated request>
    Then the last request is refused as stale-epoch
    And 3 tasks are still pending

    Examples:
      | outdated request                                       |
      | under sequence number 6                                |
      | under sequence number 8 and an older epoch             |
      | under sequence number 8 and an older epoch of the home |

  Scenario: A repeated request gets no reply before the starts are in the log
    Given a fleet without room, with pull requests sent by the scenario
    And a job of 5 tasks came to billing
    And the log delays its replies by 3 s
    When the rack requests 2 tasks under sequence number 1, twice, 1 s apart
    Then neither reply came before the starts were in the log

  Scenario: All tasks become pending again if the log refuses the starts
    Given a fleet without room, with pull requests sent by the scenario
    And a job of 5 tasks came to billing
    And each append to the log fails after 3 s
    When the rack requests 2 tasks under sequence number 1, twice, 1 s apart
    Then no reply contains a task
    And 5 tasks are still pending

  Scenario: A request times out while the log is slow
    Given a fleet without room, with pull requests sent by the scenario
    And a job of 5 tasks came to billing
    And the log delays its replies by 1.5 s
    When the rack requests 2 tasks under sequence number 1, with a timeout of 1 s
    And the rack requests 2 tasks under sequence number 1
    Then the last reply contains 2 tasks
    And 3 tasks are still pending
