Feature: Leases that a worker's next life grants after its first report

  # Guards against a lease on the former clock that begins after the first report.
  Scenario Outline: TWICE: an order that arrives after the first report of a life is waited for
    Given a cell of 2 nodes and 2 workers that need 0 s to kill a run
    And workers grant leases of up to 10 s
    And the clocks of workers run at <rate> of the usual rate
    And calls to workers that are cut off fail after 0.01 s
    When 30 s pass
    And orders to workers take <transit> s in transit
    And a job "a" with a long-running task is submitted
    And 0.1 s pass
    And all workers are restarted, which ends the calls that wait there
    And <transit> s pass
    And the worker of job "a" is cut off
    And orders to workers take 0.001 s in transit
    And 25 s pass
    Then no two runs of job "a" overlap
    And task 0 of job "a" has begun 2 times

    Examples:
      | transit | rate |
      | 0.5     | 0.98 |
      | 0.7     | 0.98 |
      | 0.7     | 1    |

  # Guards against a lease that a stray run extends for all runs beside it.
  Scenario: TWICE: a stray run in a worker's next life extends the leases beside it
    Given a cell of 2 nodes and 1 workers
    And workers grant leases of up to 10 s
    And calls to workers that are cut off fail after 0.01 s
    When 30 s pass
    And the next order is carried out 5 s late without a reply
    And a job "a" with a long-running task is submitted
    And 0.1 s pass
    And orders get replies again
    And job "a" is cancelled
    And 1.5 s pass
    And all workers are restarted and write their entries
    And 0.9 s pass
    And a job "b" with a long-running task is submitted
    And a stray run on worker "w0" is listed
    And the worker of job "b" is cut off
    And another worker joins
    And 25 s pass
    Then no two runs of job "b" overlap
    And task 0 of job "b" has begun 2 times
