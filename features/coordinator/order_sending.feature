Feature: Orders to a worker leave in time and with authority

  # Guards against stops of runs that a successor may have inherited.
  Scenario Outline: UNASKED: a <order> does not leave without authority
    Given a cell of 3 nodes and 2 workers with listed calls
    When 2 s pass
    And a job "a" with a long-running task is submitted
    And 1 s passes
    And the worker of job "a" is reached by the coordinator alone
    And the coordinator is cut off until its authority is over
    And it orders a <order> of the run of job "a"
    And 0.5 s pass
    Then no order about the run of job "a" has left
    And the run of job "a" goes on

    Examples:
      | order      |
      | stop       |
      | stray stop |
      | pace       |

  # Guards against stops that are given up with the authority.
  Scenario: UNASKED: a stop leaves once the authority is confirmed again
    Given a cell of 3 nodes and 2 workers with listed calls
    When 2 s pass
    And a job "a" with a long-running task is submitted
    And 1 s passes
    And the worker of job "a" is reached by the coordinator alone
    And the store is down
    And 4.5 s pass
    And it orders a stop of the run of job "a"
    And 0.5 s pass
    Then no order about the run of job "a" has left
    When the store is up
    Then the stop of job "a" has left within 1.5 s

  # Guards against stops that are repeated without end.
  Scenario: UNASKED: a stop that may not leave is given up with the coordinator
    Given a cell of 3 nodes and 2 workers with listed calls
    When 2 s pass
    And a job "a" with a long-running task is submitted
    And 1 s passes
    And the worker of job "a" is reached by the coordinator alone
    And the coordinator is cut off until its authority is over
    And it orders a stop of the run of job "a"
    And the coordinator ends
    And 1 s passes
    Then no order about the run of job "a" has left
    And no order is repeated

  # Guards against cancels that wait until many tasks have been started.
  Scenario: UNASKED: a stop does not wait behind orders to start
    Given a cell of 1 node and 1 worker with listed calls
    When 2 s pass
    And a job "a" with a long-running task is submitted
    And 1 s passes
    And replies to orders to start are 0.7 s late
    And a job "b" of 300 small endless tasks is submitted
    And 0.2 s pass
    And job "a" is cancelled
    Then the stop of job "a" has left within 0.2 s

  # Guards against gangs that are placed again and again.
  Scenario: LOST: a gang whose orders leave slowly runs once
    Given a cell of 1 node and 1 worker with listed calls
    And the tasks of job "a" work only as a gang of 400
    When 2 s pass
    And replies to orders to start are 0.7 s late
    And a job "a" with a gang of 400 small endless tasks is submitted
    And 8 s pass
    Then 400 members of job "a" run
    And the gang of job "a" has begun 1 time
