Feature: Sizes and run times are learned per job class

  Scenario Outline: A grant follows the peak use
    Given a class that declares 4 cores and 8192 MiB
    When <ended> tasks end that used <cores> cores and <mib> MiB
    Then the next task is granted about <granted_cores> cores and <granted_mib> MiB

    Examples:
      | ended | cores | mib    | granted_cores | granted_mib |
      | 3     | 1     | 1024   | 4             | 8192        |
      | 20    | 1     | 1024   | 1.15          | 1178        |
      | 20    | 16    | 32768  | 18.4          | 37683       |
      | 20    | 0.01  | 10     | 0.4           | 819         |
      | 20    | 400   | 800000 | 40            | 81920       |

  Scenario: Old use counts less
    Given a class that declares 4 cores and 8192 MiB
    When 40 tasks end that used 8 cores and 4096 MiB
    And 2 days pass
    And 20 tasks end that used 1 cores and 1024 MiB
    Then the next task is granted about 1.15 cores and 1178 MiB

  Scenario: Memory is bounded
    When tasks of 5000 classes end
    Then 2000 classes are remembered

  Scenario Outline: A task that exceeds its grant
    Given a task that <can> be checkpointed, whose last action is <last>
    When it uses <cores> of 4 cores and <mib> of 4096 MiB
    Then the action is <action>

    Examples:
      | can   | last       | cores | mib  | action     |
      | can   | leave      | 4.2   | 4096 | leave      |
      | can   | leave      | 8     | 4096 | throttle   |
      | can   | throttle   | 8     | 4096 | checkpoint |
      | can   | leave      | 4     | 8192 | checkpoint |
      | can't | leave      | 4     | 8192 | stop       |
      | can   | checkpoint | 4     | 8192 | stop       |

  Scenario: No action is taken before the last one can show in reports
    Given a task that can be checkpointed, whose last action is throttle
    When 5 s later it uses 8 of 4 cores
    Then the action is leave

  Scenario: Calls are served in the order of their deadlines
    Given a call queue for 1 slot
    When calls of team "a" are offered with deadlines 9, 3 and 6
    Then they are served in the order 3, 6, 9

  Scenario: A call that cannot be answered in time is refused at once
    Given a call queue for 1 slot whose calls take 1 s
    When calls of team "a" are offered with deadlines 2, 3 and 4
    Then a call with the deadline 4 is refused as overloaded
    And a call with the deadline 10 waits
    And a call with the deadline 0 is refused as deadline-exceeded

  Scenario: The call queue is bounded
    Given a call queue for 1000 slots that holds at most 100 calls and is full
    Then a call with the deadline 60 is refused as overloaded

  Scenario: A team with many calls does not push out another
    Given a call queue for 1 slot
    When 30 calls of team "a" with the deadline 50 and 10 of team "b" with the deadline 55 wait
    Then at least 8 of the first 20 served calls are of team "b"

  Scenario: Cancelled and late calls are never served
    Given a call queue for 1 slot
    When calls of team "a" are offered with deadlines 9, 3 and 6
    And the call with the deadline 3 is cancelled
    And 7 s have passed
    Then they are served in the order 9
