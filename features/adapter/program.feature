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

  Scenario: Callers connect before the libraries are imported
    Given settings of a new process with a free port for callers
    When a new process listens for callers
    Then a caller can connect
    And the process has imported none of "grpc uvicorn aiohttp msgspec"

  Scenario Outline: A process does not listen early without an address
    Given settings of a new process <fault>
    When a new process listens for callers
    Then it listens nowhere

    Examples:
      | fault                    |
      | that does not exist      |
      | that is no TOML          |
      | without addresses        |
      | with a taken address     |
