Feature: The program on loopback, against the platform's published protocol

  Scenario: A job submitted over HTTP runs on a worker and completes
    Given the platform's store, one worker and the permission service on loopback
    And the program with its settings file
    When the node reports that it is ready
    And a caller submits a job of 2 steps
    Then the job is accepted
    And within 10 s the state of the job is "completed"
    And the worker ran each of its 3 tasks once
    And the metrics count 3 runs that have ended

  Scenario: A job is cancelled over HTTP
    Given the platform's store, one worker and the permission service on loopback
    And tasks that take 60 s
    And the program with its settings file
    When the node reports that it is ready
    And a caller submits a job of 2 steps
    And the caller cancels it once its state is "running"
    Then within 10 s the state of the job is "canceled"
    And within 10 s the worker runs nothing
