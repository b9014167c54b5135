Feature: Attempts of tasks and gangs

  Scenario: The log tells which attempts of a task were counted
    Given a cell of 2 nodes and 4 workers
    And task 1 of job "a" fails
    When 1 s passes
    And a job "a" with steps of 3 tasks is submitted
    And 4 s pass
    Then job "a" is failed
    And the log counts the failed attempts of job "a" as
      | task    | run | attempts | max_attempts |
      | a.0.0.1 | 1   | 1        | 2            |
      | a.0.0.1 | 2   | 2        | 2            |

  # Guards against counting what is left of a gang after its job has ended.
  Scenario: The log counts the attempts of a gang until its job has failed
    Given a cell of 2 nodes and 4 workers
    And the tasks of job "a" work only as a gang of 3
    And the queue allows 2 attempts
    And members 0 and 1 and 2 of the gang fail in run 1
    And members 0 and 1 and 2 of the gang fail in run 2
    When 1 s passes
    And a job "a" with a gang of 3 tasks for different workers is submitted
    And 5 s pass
    Then job "a" is failed
    And the log counts the failed attempts of job "a" as
      | run | attempts | max_attempts |
      | 1   | 1        | 2            |
      | 1   | 1        | 2            |
      | 1   | 1        | 2            |
      | 2   | 2        | 2            |

  Scenario: The log and the metrics tell how long a long-running task was away
    Given a cell of 2 nodes and 3 workers
    When 1 s passes
    And a long-running task of job "a" fails after 1 s and begins again
    Then the log tells that task "a.0.0.0" began again after less than 0.1 s
    And the metrics count 1 duration of "restart"

  Scenario Outline: A run of a gang is one attempt, whichever members fail in it
    Given a step whose 3 tasks are a <kind>
    When its tasks fail as "<failures>"
    Then <attempts> attempts of its task 0 have failed

    Examples: failures are the index of a task and the number of its run
      | kind           | failures        | attempts |
      | gang           | 0:1 1:1 2:1     | 1        |
      | gang           | 0:1 1:1 1:2     | 2        |
      | gang           | 1:1 2:2         | 2        |
      | gang           | 0:1 0:1         | 1        |
      | gang           | 0:1 1:1 2:3     | 2        |
      | plain step     | 0:1 1:1 2:1     | 1        |
      | plain step     | 0:1 0:3 1:2     | 2        |

  Scenario Outline: A successor counts the failed run of a gang that it has read
    Given a step whose 3 tasks are a gang
    When its tasks fail as "<before>"
    And its record is read by a successor
    And its tasks fail as "<after>"
    Then <attempts> attempts of its task 0 have failed

    Examples:
      | before  | after | attempts |
      | 0:1     | 1:1   | 1        |
      | 0:1 1:1 | 2:2   | 2        |

  Scenario Outline: The record of an earlier version counts a run with each member
    Given a step whose 3 tasks are a gang
    When its record of an earlier version says that run <run> was the newest and tasks failed <failures> times
    Then <attempts> attempts of its task 0 have failed
    When its tasks fail as "<after>"
    Then <later> attempts of its task 0 have failed

    Examples:
      | run | failures | attempts | after | later |
      | 1   | 1, 1, 0  | 1        | 2:1   | 1     |
      | 1   | 1, 1, 0  | 1        | 0:2   | 2     |
      | 2   | 0, 1, 1  | 2        | 0:3   | 3     |

  Scenario: An earlier version reads the record of a gang
    Given a step whose 3 tasks are a gang
    When its tasks fail as "0:1 1:1 2:2"
    Then an earlier version reads that its tasks failed 1, 0, 1 times
