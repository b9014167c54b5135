Feature: Unhealthy workers that report that they are healthy

  Scenario Outline: Progress reports show whether a run is slow or stalled
    Given a run of an image whose tasks take <takes> s
    When reports give its progress as "<reports>"
    Then it <is> slow or stalled

    Examples: reports are pairs of a time in seconds and a percentage
      | takes | reports                    | is     |
      | 1     | 0.5:50 0.9:90              | is not |
      | 1     | 0.8:0                      | is     |
      | 1     | 0.4:0                      | is not |
      | 1     | 0.6:0                      | is     |
      | 1     | 0.5:10 0.8:16              | is     |
      | 1     | 0.5:20 0.8:35              | is not |
      | 8     | 0.5:5 1.0:10 1.9:10        | is     |
      | 8     | 0.5:5 1.0:10 1.4:10        | is not |
      | 40    | 0.5:1 1.5:1                | is not |

  Scenario Outline: The progress of a resumed run is measured from its checkpoint
    Given a run of an image whose tasks take 4 s that resumes from a checkpoint
    When reports give its progress as "<reports>"
    Then it <is> slow or stalled

    Examples:
      | reports             | is     |
      | 0.3:60 0.9:75       | is not |
      | 0.3:60 0.9:60 1.2:60 | is    |

  Scenario Outline: A resumed run gives an estimate of the whole task
    Given a run of an image whose tasks take 4 s that resumes from a checkpoint
    When reports give its progress as "<reports>"
    And it ends at 2.5 s
    Then the estimated duration of the whole task is <whole>

    Examples:
      | reports      | whole       |
      | 0.5:60 1:70  | 5 s         |
      | 0.5:90 1:95  | unknown     |

  Scenario: A run from the beginning gives the duration of the whole task
    Given a run of an image whose tasks take 4 s
    When reports give its progress as "0.5:10 1:30"
    And it ends at 2.5 s
    Then the estimated duration of the whole task is 2.5 s

  Scenario: A run of an unknown image is not slow
    Given a run of an image of which no task has ended
    When reports give its progress as "0.5:5 0.9:8 1.4:11"
    Then it is not slow or stalled

  Scenario Outline: Runs whose progress says nothing about the worker
    Given a <kind> run of an image whose tasks take 1 s
    When reports give its progress as "0.8:0 1.6:0"
    Then it is not slow or stalled

    Examples:
      | kind         |
      | gang         |
      | filler       |
      | long-running |

  Scenario Outline: A run moves only if it ends sooner elsewhere
    Given a <kind> run of an image whose tasks take <takes> s
    When reports give its progress as "<reports>"
    Then it <is> worth moving

    Examples:
      | kind          | takes | reports       | is     |
      | plain         | 1     | 0.8:0         | is     |
      | plain         | 1     | 0.8:16 2:40   | is     |
      | plain         | 1     | 0.8:16 3.8:80 | is not |
      | checkpointing | 8     | 2:5 6:15      | is     |

  Scenario Outline: A failure counts less if the step fails on several workers
    Given a worker on which <failures> tasks in a row have failed
    And tasks of the same step have failed on <places> workers
    Then the worker <is> unhealthy

    Examples:
      | failures | places | is     |
      | 1        | 1      | is not |
      | 2        | 1      | is     |
      | 3        | 4      | is not |

  Scenario: Blame decays
    Given a worker on which 1 tasks in a row have failed
    And tasks of the same step have failed on 1 workers
    When another task fails on it 6 s later
    Then the worker is not unhealthy

  Scenario: A success reduces the blame of a worker
    Given a worker on which 1 tasks in a row have failed
    And tasks of the same step have failed on 1 workers
    When a task succeeds on it and another fails
    Then the worker is not unhealthy

  Scenario: A worker that stays unhealthy gets no new runs for longer
    Given a worker that was marked as unhealthy at 0 s, 2.5 s, 7 s and 14 s
    Then it gets no new runs until 2 s, 6.5 s, 13 s and 20 s

  Scenario: At most a quarter of the workers are unhealthy at a time
    Given 8 workers of which 2 are unhealthy
    Then no other worker may be marked as unhealthy
    Given 8 workers of which 1 are unhealthy
    Then another worker may be marked as unhealthy

  Scenario: Tasks move away from a worker on which they stall
    Given a cell of 2 nodes and 3 workers
    When 1 s passes
    And the mean duration of the image of job "a" is known
    And tasks on worker "w0" stall
    And a job "b" with 6 tasks of that image is submitted
    And 4 s pass
    Then job "b" is succeeded
    And worker "w0" was marked as unhealthy

  Scenario Outline: A run moves only if a worker that may run it has room
    Given a stalled run whose step requires the label "gpu"
    And another worker with room has the label "<label>"
    When the health of the worker is reviewed
    Then the run <moves>

    Examples:
      | label | moves      |
      | gpu   | is stopped |
      | disk  | continues  |

  Scenario Outline: A run does not move to a worker at its step's limit
    Given a stalled run of a step of 2 tasks, at most <limit> on a worker
    And the only other worker with room runs the other task
    When the health of the worker is reviewed
    Then the run <moves>

    Examples:
      | limit | moves      |
      | 0     | is stopped |
      | 2     | is stopped |
      | 1     | continues  |

  Scenario: A worker that fails every task is soon avoided
    Given a cell of 2 nodes and 3 workers
    When 1 s passes
    And worker "w0" fails every task that it starts
    And 30 jobs of 1 tasks each are submitted 0.1 s apart
    And 3 s pass
    Then at most 5 runs have failed

  # Guards against a gang's failed run counting once for each member
  Scenario: A gang that fails as a whole counts once against a worker
    Given a cell of 2 nodes and 4 workers
    And the tasks of job "a" work only as a gang of 8
    And all 8 tasks of job "a" fail as they begin
    When 1 s passes
    And version 2 allows 99 attempts
    And a job "a" with a gang of 8 such tasks is submitted
    And 0.05 s pass
    Then run 1 has failed on 4 workers
    And no worker was marked as unhealthy

  Scenario: A worker on which each run of a gang fails is unhealthy
    Given a cell of 2 nodes and 1 workers
    And the tasks of job "a" work only as a gang of 2
    And all 2 tasks of job "a" fail as they begin
    When 1 s passes
    And version 2 allows 99 attempts
    And a job "a" with a gang of 2 such tasks is submitted
    And 1 s passes
    Then run 2 has failed on 1 workers
    And worker "w0" was marked as unhealthy

  # Guards against blaming workers for the rest of a job that has failed
  Scenario: A job that can never succeed makes no worker unhealthy
    Given a cell of 2 nodes and 4 workers
    And all 8 tasks of job "a" fail as they begin
    When 1 s passes
    And version 2 allows 1 attempts
    And a job "a" with 8 tasks of that image is submitted
    And 0.2 s pass
    Then job "a" is failed
    And run 1 has failed on 4 workers
    And no worker was marked as unhealthy
