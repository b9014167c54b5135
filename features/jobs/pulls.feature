Feature: Handing tasks out

  A rack's owner asks a home for tasks.  Questions and answers get lost, come
  again and come late; no task is lost and none starts twice.

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

  Scenario: The same question gets the same answer
    Given a fleet without room, whose rack asks by hand
    And a job of 5 tasks came to billing
    When the rack asks for 2 tasks as question 1
    And the rack asks for 2 tasks as question 1
    Then both answers hold the same 2 tasks
    And 3 tasks still wait

  Scenario: The next question gets other tasks
    Given a fleet without room, whose rack asks by hand
    And a job of 5 tasks came to billing
    When the rack asks for 2 tasks as question 1
    And the rack asks for 2 tasks as question 2
    Then the answers have no task in common
    And 1 tasks still wait

  Scenario Outline: A question out of date is refused
    Given a fleet without room, whose rack asks by hand
    And a job of 5 tasks came to billing
    When the rack asks for 2 tasks as question 7
    And the rack asks for 2 tasks <out of date>
    Then the last question is refused as stale-epoch
    And 3 tasks still wait

    Examples:
      | out of date                          |
      | as question 6                        |
      | as question 8 under an older epoch   |
      | as question 8 to an older home       |

  Scenario: A repeat is not answered before the log holds the starts
    Given a fleet without room, whose rack asks by hand
    And a job of 5 tasks came to billing
    And the log answers 3 s late
    When the rack asks for 2 tasks as question 1, twice, 1 s apart
    Then neither answer came before the log held the starts

  Scenario: A log that refuses the starts takes every task back
    Given a fleet without room, whose rack asks by hand
    And a job of 5 tasks came to billing
    And the log is slow and then fails
    When the rack asks for 2 tasks as question 1, twice, 1 s apart
    Then no answer holds a task
    And 5 tasks still wait

  Scenario: A question that is given up while the log is slow
    Given a fleet without room, whose rack asks by hand
    And a job of 5 tasks came to billing
    And the log answers 1.5 s late
    When the rack asks for 2 tasks as question 1, and gives up after 1 s
    And the rack asks for 2 tasks as question 1
    Then the last answer holds 2 tasks
    And 3 tasks still wait
