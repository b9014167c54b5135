Feature: Proofs that a run is over or has never started

  A task is placed anew only once its former run is over.

  # Guards against an order that is sent after its run was taken for lost.
  Scenario: TWICE: an order that waits behind others is not sent once its run is lost
    Given a cell of 2 nodes and 1 workers with faulty calls
    When 2 s pass
    And a job "a" of 700 small endless tasks is submitted
    And 3 s pass
    And worker "w0" is out of touch
    And job "a" is cancelled
    And a job "b" of 90 small endless tasks is submitted
    And 0.2 s pass
    And another worker joins
    And 6 s pass
    And worker "w0" is in touch again
    And 4 s pass
    Then no two runs of job "b" overlap
    And task 0 of job "b" has begun at least 1 times

  # Guards against an order that leaves after the authority of its coordinator.
  Scenario Outline: TWICE: an order that waited while the coordinator stood still is not sent
    Given a cell of 4 nodes and 1 workers with faulty calls
    When 2 s pass
    And the coordinator's calls to workers stand still
    And a job "a" of 100 small endless tasks is submitted
    And 0.1 s pass
    And the coordinator is unreachable for all but "w0"
    And worker "other" joins, which all nodes reach
    And <still> s pass
    And the coordinator goes on
    And 12 s pass
    Then no two runs of job "a" overlap
    And job "a" has run on worker "other"

    Examples: It stands still for some seconds
      | still |
      | 3     |
      | 10    |
      | 20    |

  Scenario Outline: TWICE: an order whose record was stored while the coordinator stood still is not sent
    Given a cell of 4 nodes and 1 workers with faulty calls
    When 2 s pass
    And the store's replies to the coordinator's placements stand still
    And a job "a" of 100 small endless tasks is handed in
    And 0.1 s pass
    And the coordinator is unreachable for all but "w0"
    And worker "other" joins, which all nodes reach
    And <still> s pass
    And the coordinator goes on
    And 12 s pass
    Then no two runs of job "a" overlap
    And job "a" has run on worker "other"

    Examples: It stands still for some seconds
      | still |
      | 3     |
      | 10    |
      | 20    |

  # Guards against a lease on the clock of a worker's former life.
  Scenario: TWICE: a successor waits for the lease that a worker's new life has granted
    Given a cell of 3 nodes and 1 worker that grants leases of 10 s
    And tasks of job "a" take 60 s
    When 20 s pass
    And orders to workers take 0.3 s in transit
    And a job "a" with steps of 1 task is submitted
    And 0.1 s pass
    And worker "w0" loses its life and begins another
    And 0.4 s pass
    And another worker joins
    And the worker of job "a" is reached by the present coordinator alone
    And the coordinator leaves
    And 24 s pass
    Then no two runs of job "a" overlap
    And job "a" has run on 2 workers

  # Guards against a lease on the clock of a worker's former life.
  Scenario Outline: TWICE: a successor that has reached a worker once waits for its lease
    Given a cell of 3 nodes and 1 worker that grants leases of <longest> s
    And tasks of job "a" take 60 s
    When 20 s pass
    And orders to workers take 0.3 s in transit
    And a job "a" with steps of 1 task is submitted
    And 0.1 s pass
    And worker "w0" loses its life and begins another
    And 0.4 s pass
    And another worker joins
    And the coordinator leaves its successor to reach the worker
    And worker "w0" is out of touch once the next coordinator reaches it
    And 24 s pass
    Then no two runs of job "a" overlap
    And job "a" has run on 2 workers

    Examples: Leases are of up to some seconds
      | longest |
      | 4       |
      | 6       |
      | 10      |

  # Guards against an end that is acknowledged after its task was started again.
  Scenario: TWICE: a run that ends out of touch before its lease is over is not started again
    Given a cell of 3 nodes and 1 worker that grants leases of 10 s
    And tasks of job "a" take 5 s
    When 20 s pass
    And orders to workers take 0.3 s in transit
    And a job "a" with steps of 1 task is submitted
    And 0.1 s pass
    And worker "w0" loses its life and begins another
    And 0.4 s pass
    And another worker joins
    And the coordinator leaves its successor to reach the worker
    And worker "w0" is out of touch once the next coordinator reaches it
    And 6.5 s pass
    And worker "w0" is in touch again
    And 8 s pass
    Then no two runs of job "a" overlap
    And no task of job "a" succeeded twice

  # Guards against a proof of one life of a worker that is used for the next.
  Scenario Outline: TWICE: an order that arrives in a worker's next life does not run twice
    Given a cell of 3 nodes and 1 worker
    And tasks of job "a" take 60 s
    When 20 s pass
    And the next order is carried out <late> s late without a reply
    And a job "a" with steps of 1 task is submitted
    And 0.05 s pass
    And orders get replies again
    And another worker joins
    And the worker drains
    And <kills> coordinators are killed 2 s apart
    And <rest> s pass
    And worker "w0" loses its life and begins another
    And 6 s pass
    Then no two runs of job "a" overlap
    And job "a" has run on worker "other"

    Examples: The order is late by some seconds
      | late | kills | rest |
      | 0.5  | 0     | 2    |
      | 3    | 0     | 2    |
      | 3    | 1     | 0.5  |
      | 8    | 1     | 0.5  |

  Scenario: TWICE: an order to a worker that is reborn out of touch does not run twice
    Given a cell of 3 nodes and 1 worker
    And tasks of job "a" take 60 s
    When 20 s pass
    And the next order is carried out 4 s late without a reply
    And a job "a" with steps of 1 task is submitted
    And 0.05 s pass
    And orders get replies again
    And another worker joins
    And the worker drains
    And 1 coordinators are killed 2 s apart
    And worker "w0" is out of touch
    And worker "w0" loses its life and begins another
    And 10 s pass
    Then no two runs of job "a" overlap
    And job "a" has run on worker "other"

  Scenario Outline: TWICE: a late order of a former coordinator is refused
    Given a cell of 3 nodes and 2 workers
    And tasks of job "a" take 20 s
    When 20 s pass
    And the next order is carried out <late> s late without a reply
    And a job "a" with steps of 1 task is submitted
    And 0.05 s pass
    And orders get replies again
    And 1 coordinators are killed 2 s apart
    And 12 s pass
    Then no two runs of job "a" overlap
    And task 0 of job "a" has begun 1 time

    Examples: The order is late by some seconds
      | late |
      | 0    |
      | 0.5  |
      | 1.2  |
      | 1.7  |
      | 3    |
      | 8    |

  # Guards against a late renewal that bears a time on a former life's clock.
  Scenario: TWICE: a renewal that arrives in a worker's next life extends no lease unseen
    Given a cell of 2 nodes and 1 worker that grants leases of 10 s
    And tasks of job "a" take 60 s
    When 20 s pass
    And a job "a" with steps of 1 task is submitted
    And 1 s passes
    And the next renewal is carried out 5 s late without a reply
    And 2.5 s pass
    And worker "w0" loses its life and begins another
    And 1 s passes
    And another worker joins
    And 3.5 s pass
    And worker "w0" is out of touch
    And 30 s pass
    Then no two runs of job "a" overlap
    And job "a" has run on 2 workers

  # Guards against ends of a worker's next life that are forgotten unseen.
  Scenario: TWICE: an acknowledgement that arrives in a worker's next life forgets no end
    Given a cell of 2 nodes and 1 workers with faulty calls
    When 2 s pass
    And the next acknowledgement is carried out 3 s late without a reply
    And a job "a" with steps of 3 tasks is submitted
    And 2 s pass
    And worker "w0" loses its life and begins another
    And 0.85 s pass
    And the next report of an outcome is lost
    And a job "b" with steps of 1 task is submitted
    And 5 s pass
    Then job "b" is succeeded
    And no task of job "b" succeeded twice

  Scenario Outline: TWICE: a worker that begins another life out of touch runs nothing twice
    Given a cell of 3 nodes and 2 workers
    And tasks of job "a" take 20 s
    When 20 s pass
    And a job "a" with steps of 1 task is submitted
    And 1 s passes
    And the worker of job "a" is cut off
    And <before> s pass
    And the worker of job "a" is restarted
    And <kills> coordinators are killed 2 s apart
    And <after> s pass
    And all workers are in touch again
    And 12 s pass
    Then no two runs of job "a" overlap
    And task 0 of job "a" has begun 2 times

    Examples: Lost, reborn and back at different times
      | before | kills | after |
      | 0      | 0     | 1     |
      | 1      | 1     | 1     |
      | 1      | 0     | 8     |
      | 3      | 2     | 8     |

  Scenario Outline: TWICE: a worker whose entry has lapsed runs nothing twice
    Given a cell of 3 nodes and 1 worker
    And tasks of job "a" take 30 s
    When 20 s pass
    And a job "a" with steps of 1 task is submitted
    And 1 s passes
    And the entry of the worker is gone
    And <kills> coordinators are killed 2 s apart
    And another worker joins
    And <away> s pass
    And the entry of the worker is back
    And 8 s pass
    Then no two runs of job "a" overlap
    And task 0 of job "a" has begun <runs> times

    Examples: The entry is away for some seconds
      | kills | away | runs |
      | 0     | 12   | 1    |
      | 1     | 1    | 1    |
      | 1     | 12   | 2    |
      | 2     | 12   | 2    |

  # Guards against an order that leaves after the zone was closed.
  Scenario: EVAC: an order that waited while a zone was closed is not sent
    Given a cell of 2 nodes and 1 workers with faulty calls
    When 2 s pass
    And the coordinator's calls to workers stand still
    And a job "a" of 100 small endless tasks is submitted
    And 0.1 s pass
    And zone "z" is closed
    And 6 s pass
    And the coordinator goes on
    And 3 s pass
    Then no run began in zone "z" over 5 s after it was closed

  # Guards against a confirmation of one epoch that counts for another.
  Scenario: TWICE: a claim does not confirm the coordinator of an earlier epoch
    Given a cell of 3 nodes and 1 worker
    When 2 s pass
    And the coordinator is cut off until its authority is over
    And its node claims a later epoch
    Then the former coordinator of that node has no authority

  # Guards against answers about jobs that only a successor knows.
  Scenario: UNASKED: a coordinator that may have a successor does not answer that a job is unknown
    Given a cell of 3 nodes and 1 worker
    When 2 s pass
    And a successor accepts job "a" while the coordinator is cut off
    Then the former coordinator does not answer that job "a" is unknown
