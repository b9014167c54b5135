Feature: Jobs are accepted once and their state is reported correctly

  Scenario: A repeat at a node of another region is the same job
    Given the running fleet
    When the team patterns submits request order-17 to pattern-proof at central
    And 2 seconds pass
    And the team patterns submits request order-17 to pattern-proof at east
    Then both responses name the same job
    And the log has accepted 1 job of request order-17

  Scenario: Two concurrent copies of a request are one job
    Given the running fleet
    When request order-18 is submitted in both regions at once
    Then both responses name the same job
    And every node knows one job of request order-18

  Scenario: A request id cannot be reused for another job
    Given the running fleet
    When the team patterns submits request order-19 to pattern-proof at central
    And 1 seconds pass
    And the team patterns submits request order-19 to pattern-run at central
    Then it is refused with 409 as request-reused, not-run

  Scenario: A store that is down
    Given a fleet of its own
    And the store is down
    When the team patterns submits request order-20 to pattern-run at central
    Then it is refused with 503 as log-unavailable, unknown
    And its field request_id is order-20
    When the store is available again
    And 10 seconds pass
    And the team patterns submits request order-20 to pattern-run at central
    Then the answer is 202
    And the log has accepted 1 job of request order-20

  Scenario: A store that replies after the caller's timeout
    Given a fleet of its own
    And the store replies after 8 seconds
    When the team patterns submits request order-21 to pattern-run at central
    Then it is refused with 503 as log-unavailable, unknown
    When the store replies without delay again
    And 30 seconds pass
    And the team patterns submits request order-21 to pattern-run at central
    Then the answer is 202
    And the log has accepted 1 job of request order-21
    And the job has succeeded without a second run

  Scenario: Consecutive pages list each job once
    Given a fleet of its own
    When the team patterns submits 7 jobs to pattern-run
    And the jobs are listed 3 at a time
    Then each of the 7 jobs is listed once, in order of submission

  Scenario: A job is followed from submission to result
    Given a fleet of its own
    When the team patterns submits request order-22 to pattern-run at central
    And 2 seconds pass
    Then the job is running at its home
    And its result is refused with 409 as job-not-ended, unknown
    When 10 seconds pass
    Then the state of the job is succeeded
    And its result lists 2 tasks

  Scenario: A cancelled job stops, seen from another region
    Given a fleet of its own
    When the team patterns submits request order-23 to pattern-run at central
    And 2 seconds pass
    And the team patterns cancels the job at east
    And 5 seconds pass
    Then the state of the job is cancelled

  Scenario: Another team sees nothing of a job
    Given the running fleet
    When the team patterns submits request order-24 to pattern-run at central
    And 2 seconds pass
    Then the team proofs may not see, cancel or explain the job
    And an operator sees the job

  Scenario: A job that waits is explained
    Given a fleet of its own
    When 12 tasks of 32 cores wait in the queue pattern-run
    Then the reason is that no worker has room for another task

  Scenario: A job whose home is unreachable is shown from the log
    Given a fleet of its own
    When the team patterns submits request order-25 to pattern-run at east
    And 2 seconds pass
    And the nodes of central are cut off from east
    Then the job is shown at east from the log

  Scenario: A watcher moves off a dead worker
    Given a fleet of its own
    When a watcher job runs and its worker dies
    And 45 seconds pass
    Then the watcher job runs on another worker

  Scenario: An anonymous job on an open queue
    Given a fleet with the open queue public of kind batch
    When an anonymous job is submitted to the queue public
    And 5 seconds pass
    Then its result is readable without a key, and only an operator may cancel it
