Feature: Runs that a worker lists and that are not booked there

  A run is given up with the leases of its worker.  When the worker is back in
  touch, it lists what became of the run.

  # Guards against an end that is passed over since its run was given up.
  Scenario Outline: LOST: a task that is done out of touch counts once its end is listed
    Given a cell of 3 nodes and <workers> workers
    And tasks of job "a" take 3.5 s
    When 2 s pass
    And a job "a" with steps of 1 and 1 tasks is submitted
    And 0.5 s pass
    And the worker of job "a" is cut off
    And <away> s pass
    And <kills> coordinators are killed 2 s apart
    And all workers are in touch again
    And <left> s pass
    Then task 0 of job "a" has begun <runs> times
    And no two runs of job "a" overlap
    And no task of job "a" succeeded twice
    And job "a" is succeeded

    Examples: Its task runs again, or waits for room
      | workers | away | kills | left | runs |
      | 2       | 6    | 0     | 1.8  | 2    |
      | 1       | 6    | 0     | 1.8  | 1    |
      | 2       | 4.6  | 1     | 2.2  | 2    |

  Scenario: TWICE: an order for a task that is done is not sent
    Given a cell of 2 nodes and 1 workers with faulty calls
    And tasks of job "a" take 3.5 s
    When 2 s pass
    And a job "a" with steps of 1 task is submitted
    And 0.5 s pass
    And worker "w0" is out of touch
    And 5.5 s pass
    And the store's replies to the coordinator's placements stand still
    And another worker joins
    And 0.3 s pass
    And worker "w0" is in touch again
    And 1 s passes
    And the coordinator goes on
    And 4 s pass
    Then job "a" is succeeded
    And task 0 of job "a" has begun 1 time

  Scenario Outline: TWICE: a task that is done out of touch is done for the next coordinator
    Given a cell of 3 nodes and <workers> workers
    And tasks of job "a" take 3.5 s
    When 2 s pass
    And a job "a" with steps of 1 and 1 tasks is submitted
    And 0.5 s pass
    And the worker of job "a" is cut off
    And 6 s pass
    And the store takes 0.3 s to reply
    And all workers are in touch again
    And <after> s pass
    And the coordinator is killed
    And 15 s pass
    Then job "a" is succeeded
    And no two runs of job "a" overlap
    And no task of job "a" succeeded twice

    Examples: It is killed before and after the end is stored
      | workers | after |
      | 1       | 0.25  |
      | 1       | 0.7   |
      | 1       | 1     |
      | 2       | 0.7   |
      | 2       | 1     |

  Scenario: LOST: a gang that is done out of touch counts once an end is listed
    Given a cell of 2 nodes and 4 workers
    And tasks of job "a" take 3.5 s
    And the tasks of job "a" work only as a gang of 2
    When 2 s pass
    And a job "a" with a gang of 2 tasks for different workers is submitted
    And 0.5 s pass
    And the worker of member 0 is cut off
    And the worker of member 1 is cut off
    And 6 s pass
    And the worker of member 1 is back
    And 1 s passes
    Then job "a" is succeeded
    And the runs of the gang ended as
      | run | outcomes         |
      | 1   | done, done       |
      | 2   | stopped, stopped |

  Scenario: A long-running task that ends out of touch runs on elsewhere
    Given a cell of 2 nodes and 2 workers
    And tasks of job "a" take 3.5 s
    When 2 s pass
    And a job "a" with a long-running step of 1 tasks is submitted
    And 0.5 s pass
    And the worker of job "a" is cut off
    And 6 s pass
    And all workers are in touch again
    And 1 s passes
    Then task 0 of job "a" has begun 2 times
    And 1 tasks of job "a" are running

  Scenario: FAILED: the failure of a run that was given up is no attempt
    Given a cell of 2 nodes and 2 workers
    And the queue allows 1 attempt
    And task 0 of job "a" takes 3.5 s and fails
    When 2 s pass
    And a job "a" with steps of 1 task is submitted
    And 0.5 s pass
    And the worker of job "a" is cut off
    And 6 s pass
    And all workers are in touch again
    And 1 s passes
    Then job "a" is running
    And task 0 of job "a" has begun 2 times

  # Guards against a placement beside a run that a worker lists.
  Scenario Outline: TWICE: a task is not placed while a worker lists a stray run of it
    Given a cell of 3 nodes and 1 worker
    And tasks of job "a" take 60 s
    When 20 s pass
    And the next order is carried out 3 s late without a reply
    And a job "a" with steps of 1 task is submitted
    And 0.05 s pass
    And orders get replies again
    And worker "w0" announces that it leaves
    And 2 s pass
    And worker "w0" loses its life and begins another
    And <lost> orders to worker "w0" are carried out 30 s late without a reply
    And a stray run on worker "w0" is listed
    And <then>
    And another worker joins
    And <seconds> s pass
    Then no two runs of job "a" overlap
    And job "a" has run on worker "other"

    Examples: It is stopped, or its lease ends
      | lost | then                                                 | seconds |
      | 0    | 0 s passes                                           | 2       |
      | 1    | 0 s passes                                           | 4       |
      | 9    | worker "w0" is out of touch                          | 24      |
      | 9    | the entry of worker "w0" is withdrawn and it is lost | 24      |

  Scenario: TWICE: an order is not sent once a worker lists a stray run of its task
    Given a cell of 3 nodes and 1 worker
    And tasks of job "a" take 60 s
    When 20 s pass
    And the next order is carried out 3.6 s late without a reply
    And a job "a" with steps of 1 task is submitted
    And 0.05 s pass
    And orders get replies again
    And worker "w0" announces that it leaves
    And 2 s pass
    And worker "w0" loses its life and begins another
    And 1.2 s pass
    And the store takes 0.5 s to reply
    And another worker joins
    And 1 orders to worker "w0" are carried out 30 s late without a reply
    And a stray run on worker "w0" is listed
    And 6 s pass
    Then no two runs of job "a" overlap
    And job "a" has run on worker "other"
