Feature: Gangs on workers that run them only together

  Background:
    Given a cell of 2 nodes and 4 workers
    And the tasks of job "a" work only as a gang of 3
    When 1 s passes

  Scenario: A gang that loses a member runs again as a whole
    When a job "a" with a gang of 3 tasks for different workers is submitted
    And 0.6 s pass
    And a worker of the gang restarts
    And 4 s pass
    Then job "a" is succeeded
    And the runs of the gang ended as
      | run | outcomes                |
      | 1   | broken, broken, crashed |
      | 2   | done, done, done        |

  Scenario Outline: A gang of which a worker refuses a member is stopped at once
    When worker "w0" refuses orders as "<cause>"
    And a job "a" with a gang of 3 tasks for different workers is submitted
    And 5 s pass
    Then job "a" is succeeded
    And the runs of the gang ended as
      | run | outcomes         |
      | 1   | stopped, stopped |
      | 2   | done, done, done |

    Examples:
      | cause     |
      | no-room   |
      | unhealthy |

  Scenario: A gang whose members all work ends once
    When a job "a" with a gang of 3 tasks for different workers is submitted
    And 3 s pass
    Then job "a" is succeeded
    And the runs of the gang ended as
      | run | outcomes         |
      | 1   | done, done, done |

  # Guards against counting a run once for each member that failed.
  Scenario Outline: LOST: a run of which several members fail is one attempt
    Given the queue allows <attempts> attempts
    And members <members> of the gang fail in run 1
    When a job "a" with a gang of 3 tasks for different workers is submitted
    And 5 s pass
    Then the members of each run shared 3 workers
    And the runs of the gang ended as
      | run | outcomes         |
      | 1   | <outcomes>       |
      | 2   | done, done, done |
    And job "a" is succeeded

    Examples: Members that fail
      | members       | attempts | outcomes               |
      | 0 and 1       | 2        | broken, failed, failed |
      | 0 and 1 and 2 | 3        | failed, failed, failed |

  # Guards against counting a run once for each member that failed.
  Scenario Outline: LOST: a run whose members fail on one worker is one attempt
    Given the queue allows <attempts> attempts
    And only worker "w0" is left
    And members <members> of the gang fail in run 1
    When a job "a" with a gang of 3 tasks for any workers is submitted
    And 5 s pass
    Then the members of each run shared 1 worker
    And the runs of the gang ended as
      | run | outcomes         |
      | 1   | <outcomes>       |
      | 2   | done, done, done |
    And job "a" is succeeded

    Examples: Members that fail
      | members       | attempts | outcomes               |
      | 0 and 1       | 2        | broken, failed, failed |
      | 0 and 1 and 2 | 3        | failed, failed, failed |

  # Guards against using up several attempts in one run.
  Scenario: LOST: a gang of three attempts survives two runs of several failures
    Given the queue allows 3 attempts
    And members 0 and 1 of the gang fail in run 1
    And members 1 and 2 of the gang fail in run 2
    When a job "a" with a gang of 3 tasks for different workers is submitted
    And 8 s pass
    Then the runs of the gang ended as
      | run | outcomes               |
      | 1   | broken, failed, failed |
      | 2   | broken, failed, failed |
      | 3   | done, done, done       |
    And job "a" is succeeded

  # Guards against a successor that counts a run again.
  Scenario: LOST: a run is one attempt if the coordinator is lost between two ends
    Given the queue allows 2 attempts
    And members 0 and 1 of the gang fail in run 1
    When a job "a" with a gang of 3 tasks for different workers is submitted
    And the worker of member 1 is cut off
    And run 1 of the gang has ended
    And 0.1 s pass
    And the coordinator is killed
    And the worker of member 1 is back
    And 8 s pass
    Then the runs of the gang ended as
      | run | outcomes               |
      | 1   | broken, failed, failed |
      | 2   | done, done, done       |
    And job "a" is succeeded

  # Guards against a successor that counts ends listed to its predecessor.
  Scenario: LOST: a run is one attempt if its ends are listed to two coordinators
    Given the queue allows 2 attempts
    And members 0 and 1 of the gang fail in run 1
    When a job "a" with a gang of 3 tasks for different workers is submitted
    And all workers are cut off as soon as a member is known to have ended
    And 0.1 s pass
    And the coordinator is killed
    And all workers are back and list the failed ends again
    And 8 s pass
    Then the runs of the gang ended as
      | run | outcomes               |
      | 1   | broken, failed, failed |
      | 2   | done, done, done       |
    And job "a" is succeeded

  # Guards against counting an end of an earlier run.
  Scenario: LOST: a run is one attempt if a member's end is listed late
    Given the queue allows 2 attempts
    And members 0 and 1 of the gang fail in run 1
    When a job "a" with a gang of 3 tasks for different workers is submitted
    And the next report of an outcome is lost from the worker of member 1
    And 8 s pass
    Then the runs of the gang ended as
      | run | outcomes               |
      | 1   | broken, failed, failed |
      | 2   | done, done, done       |
    And job "a" is succeeded

  # Guards against counting an end of an earlier run.
  Scenario: LOST: a run is one attempt if a member's end is listed in the next run
    Given the queue allows 2 attempts
    And tasks of job "a" take 8 s
    And members 0 and 1 of the gang fail in run 1
    When a job "a" with a gang of 3 tasks for any workers is submitted
    And the worker of member 1 is cut off
    And run 2 of the gang has begun
    And the worker of member 1 is back
    And 16 s pass
    Then the runs of the gang ended as
      | run | outcomes               |
      | 1   | broken, failed, failed |
      | 2   | done, done, done       |
    And job "a" is succeeded

  # Guards against counting a run again after a restart.
  Scenario: LOST: a run is one attempt after a restart of all nodes
    Given the queue allows 3 attempts
    And members 0 and 1 of the gang fail in run 1
    And members 1 and 2 of the gang fail in run 3
    When a job "a" with a gang of 3 tasks for different workers is submitted
    And run 1 of the gang has begun
    And orders to workers take 0.3 s in transit
    And run 1 of the gang has ended
    And 0.1 s pass
    And the gang has run 1 times
    And all nodes are restarted
    And run 3 of the gang has ended
    And 0.1 s pass
    And the gang has run 2 times
    And all nodes are restarted
    And 12 s pass
    Then the runs of the gang ended as
      | run | outcomes               |
      | 1   | broken, failed, failed |
      | 3   | broken, failed, failed |
      | 5   | done, done, done       |
    And job "a" is succeeded

  Scenario Outline: BUDGET: a gang whose every run fails is given up
    Given the queue allows <attempts> attempts
    And members <first> of the gang fail in run 1
    And members <second> of the gang fail in run 2
    And members <third> of the gang fail in run 3
    When a job "a" with a gang of 3 tasks for different workers is submitted
    And 20 s pass
    Then job "a" is failed
    And the gang has run <attempts> times

    Examples:
      | first   | second  | third   | attempts |
      | 0       | 0       | 0       | 1        |
      | 0       | 0       | 0       | 2        |
      | 0       | 0       | 0       | 3        |
      | 0       | 1       | 2       | 2        |
      | 0       | 1       | 2       | 3        |

  # Guards against giving a gang up before its attempts are used.
  Scenario: LOST: a gang whose every run fails with several members has its runs
    Given the queue allows 3 attempts
    And members 0 and 1 of the gang fail in run 1
    And members 1 and 2 of the gang fail in run 2
    And members 0 and 2 of the gang fail in run 3
    When a job "a" with a gang of 3 tasks for different workers is submitted
    And 20 s pass
    Then job "a" is failed
    And the gang has run 3 times

  Scenario Outline: BUDGET: failed runs of a gang are counted beyond a change
    Given the queue allows 2 attempts
    And members 0 of the gang fail in run 1
    And members <second> of the gang fail in run 2
    And members <second> of the gang fail in run 3
    When a job "a" with a gang of 3 tasks for different workers is submitted
    And run 1 of the gang has begun
    And orders to workers take 0.3 s in transit
    And run 1 of the gang has ended
    And <pause> s pass
    And the gang has run 1 times
    And <change>
    And 20 s pass
    Then job "a" is failed
    And the gang has run 2 times

    Examples:
      | change                    | pause | second |
      | the coordinator is killed | 0.001 | 0      |
      | the coordinator is killed | 0.1   | 0      |
      | the coordinator is killed | 0.1   | 1      |
      | all nodes are restarted   | 0.001 | 1      |
      | all nodes are restarted   | 0.1   | 0      |
      | all nodes are restarted   | 0.1   | 1      |
