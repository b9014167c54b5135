Feature: The help desk, keys and drains

  Scenario: A job that ends after its deadline opens a ticket on every node
    Given a fleet of its own
    When the team patterns submits a job of 5 seconds with a deadline in 2
    And 3 seconds pass
    Then the fleet lists it once
    When 12 seconds pass
    Then every node has one ticket for deadline-missed of the job
    And the fleet lists it once

  Scenario: A call that misses its deadline opens a ticket with its trace
    Given a fleet of its own
    When every worker stands still and a call of proofs waits 1 second
    Then it is refused with 502 as outcome-unknown, unknown
    And the node of the call has a ticket for deadline-missed

  Scenario: The help desk is bounded
    Given a fleet of its own
    When 600 tickets are opened
    Then 500 tickets are kept and 600 are counted

  Scenario: A withdrawn key stops within seconds everywhere
    Given a fleet of its own
    When a key of patterns works at both regions
    And the key is withdrawn
    Then within 5 seconds it is refused at both regions

  Scenario: A node that cannot read the log trusts no key, but serves open queues
    Given a fleet of its own
    When a key of patterns works at both regions
    And east is cut off from everything for 20 seconds
    Then the key is refused at east with 401
    And the open queue is still checked without a key at east

  Scenario: A drained worker gets no new work, until the drain is undone
    Given a fleet of its own
    When an operator drains a worker
    And 5 seconds pass
    Then the worker is listed as leaving on every node
    And a wave of jobs leaves the worker empty
    When the drain is undone
    And 5 seconds pass
    Then the worker is listed as live on every node

  Scenario: A VM that nobody knows is not drained
    Given the running fleet
    When an operator drains the VM pekalongan-rack-1-9
    Then it is refused with 404 as unknown-name, not-run
    And its field kind is vm

  Scenario: A watcher without a worker opens one ticket
    Given a fleet of its own
    When a watcher runs and every worker dies
    And 90 seconds pass
    Then the fleet lists one ticket for unstaffed-singleton of the watcher

  Scenario: A second run of a task opens a ticket
    Given a fleet of its own
    When a home hears of a second run of one of its tasks
    And 3 seconds pass
    Then the fleet lists one ticket for duplicate-execution of the task
