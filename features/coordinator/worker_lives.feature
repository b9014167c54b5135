Feature: The lives of a worker that starts again under its id

  Scenario Outline: The record of a contact of this program and of the former one
    Given the record "<record>" of a contact
    Then it is of epoch <epoch> and its settled life began at <born>
    And it is stored as "<stored>"

    Examples:
      | record          | epoch | born          | stored          |
      | 7               | 7     | 0             | 7 0             |
      | 7 0             | 7     | 0             | 7 0             |
      | 7 1796659360617 | 7     | 1796659360617 | 7 1796659360617 |

  # Guards against a lease on the clock of a worker's former life.
  Scenario: TWICE: a successor waits for a lease on the clock of a worker's former life
    Given a cell of 2 nodes and 2 workers
    And workers grant leases of up to 10 s
    When 30 s pass
    And orders to workers take 0.3 s in transit
    And a job "a" with a long-running task is submitted
    And 0.1 s pass
    And all workers are restarted and write their entries
    And 0.5 s pass
    And the coordinator leaves
    And 0.5 s pass
    And the worker of job "a" is cut off
    And 15 s pass
    Then no two runs of job "a" overlap
    And task 0 of job "a" has begun 2 times

  # Guards against the same on a worker that no coordinator reaches any more.
  Scenario Outline: TWICE: a next life that nobody reaches may run what was ordered
    Given a cell of 2 nodes and 2 workers
    And workers grant leases of up to 10 s
    When 30 s pass
    And orders to workers take 0.3 s in transit
    And a job "a" with a long-running task is submitted
    And 0.1 s pass
    And all workers are restarted and write their entries
    And 0.25 s pass
    And the worker of job "a" is cut off
    And <end>
    And 25 s pass
    Then no two runs of job "a" overlap
    And task 0 of job "a" has begun 2 times

    Examples:
      | end                    |
      | 0 s passes             |
      | the coordinator leaves |

  # Guards against a stop in one life that is taken for one in the next.
  Scenario Outline: TWICE: a stop that a former life has confirmed proves nothing of the next
    Given a cell of 2 nodes and 2 workers
    When 30 s pass
    And the next order is carried out <late> s late without a reply
    And a job "a" with a long-running task is submitted
    And 0.1 s pass
    And orders get replies again
    And the order to stop the run of job "a" is confirmed
    And all workers are restarted and write their entries
    And 12 s pass
    Then no two runs of job "a" overlap
    And job "a" is running

    Examples:
      | late |
      | 1.7  |
      | 2    |
      | 3    |

  # Guards against losing runs by a refusal that is not about their life.
  Scenario Outline: TWICE: a refusal from a worker's former address proves nothing of its runs
    Given a worker whose calls may go to a former address
    When 2 s pass
    And the next <call> goes to the former address of the worker
    And a job "a" with a long-running task is submitted
    And <wait> s pass
    And the worker starts again at another address
    And a job "b" with a long-running task is submitted
    And <until> s pass
    And another worker joins
    And 0.3 s pass
    And another instance refuses that call
    And 10 s pass
    Then no two runs of job "b" overlap
    And task 0 of job "b" has begun 1 time
    And job "a" is running

    Examples:
      | call    | wait | until |
      | order   | 0.1  | 0.3   |
      | order   | 0.1  | 2     |
      | renewal | 2.5  | 0.3   |

  # Guards against giving up a worker by a refusal that is not about it.
  Scenario Outline: LOST: a refusal from a worker's former address does not give up the worker
    Given a worker whose calls may go to a former address
    When 2 s pass
    And the next <call> goes to the former address of the worker
    And a job "a" with a long-running task is submitted
    And <wait> s pass
    And the worker starts again at another address
    And 0.3 s pass
    And another instance refuses that call
    And 5 s pass
    Then task 0 of job "a" has begun <runs> times
    And job "a" is running

    Examples:
      | call    | wait | runs |
      | order   | 0.1  | 1    |
      | renewal | 2.5  | 2    |

  # Guards against a lease that outlasts the order that has made it long.
  Scenario Outline: TWICE: a long lease in a worker's next life is known to the next coordinator
    Given a cell of 2 nodes and 2 workers
    And workers grant leases of up to 10 s
    When 30 s pass
    And orders to workers take 0.3 s in transit
    And a job "a" with steps of 16 tasks is submitted
    And 0.1 s pass
    And all workers are restarted and write their entries
    And 2 s pass
    And orders to workers take 0.001 s in transit
    And a job "b" with a long-running task is submitted
    And 0.2 s pass
    And <first>
    And 0.3 s pass
    And <second>
    And 25 s pass
    Then no two runs of job "b" overlap
    And task 0 of job "b" has begun 2 times

    Examples:
      | first                             | second                            |
      | the coordinator leaves            | the worker of job "b" is cut off  |
      | the worker of job "b" is cut off  | the coordinator leaves            |

  # Guards against placing a task while a report lists another run of it.
  Scenario: TWICE: a run is not over while another run of its task is listed
    Given a cell of 2 nodes and 2 workers
    When 30 s pass
    And the next order is carried out 3 s late without a reply
    And a job "a" with a long-running task is submitted
    And 0.1 s pass
    And orders get replies again
    And the coordinator is killed
    And 2.88 s pass
    And the worker of job "a" is restarted
    And 10 s pass
    Then no two runs of job "a" overlap
    And task 0 of job "a" has begun 3 times

  # Guards against proof of one life that is taken for the next one.
  Scenario: TWICE: a late order of a former coordinator reaches the next life
    Given a cell of 2 nodes and 2 workers
    When 30 s pass
    And the next order is carried out 3 s late without a reply
    And a job "a" with a long-running task is submitted
    And 0.1 s pass
    And orders get replies again
    And the coordinator is killed
    And worker "w0" announces that it leaves
    And 2.88 s pass
    And worker "w0" is restarted
    And 10 s pass
    Then no two runs of job "a" overlap
