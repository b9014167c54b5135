Feature: The help desk, keys and drains

  Scenario: A job that ends after its deadline opens a ticket on every node
    Given a fleet of its own
    When the team patterns submits a job of 5 seconds with a deadline in 2 seconds
    And 3 seconds pass
    Then the fleet lists one ticket, of the job
    When 12 seconds pass
    Then every node has one ticket for deadline-missed of the job
    And the fleet lists one ticket, of the job

  Scenario: A call that misses its deadline opens a ticket with its trace
    Given a fleet of its own
    When every worker is paused and proofs sends a call with a deadline in 1 second
    Then it is refused with 502 as outcome-unknown, unknown
    And the node that took the call has one ticket, for deadline-missed

  Scenario: The number of tickets that are kept is limited
    Given a fleet of its own
    When 600 tickets are opened
    Then 500 tickets are kept and 600 are counted

  Scenario: A withdrawn key is refused on every node within seconds
    Given a fleet of its own
    When a key of patterns is accepted in both regions
    And the key is withdrawn
    Then after 5 seconds it is refused in both regions

  Scenario: A node that cannot read the log trusts no key, but serves open queues
    Given a fleet of its own
    When a key of patterns is accepted in both regions
    And the network cuts off east completely for 20 seconds
    Then the key is refused with 401 at east but not at central
    And a call to the open queue with this key is not refused for its key at east

  Scenario: A drained worker gets no new work, until the drain is undone
    Given a fleet of its own
    When an operator drains a worker
    And 5 seconds pass
    Then the worker is listed as leaving on every node
    And new jobs run on other workers only
    When the drain is undone
    And 5 seconds pass
    Then the worker is listed as live on every node

  Scenario: A drain of an unknown VM is refused
    Given the running fleet
    When an operator drains the VM pekalongan-rack-1-9
    Then it is refused with 404 as unknown-name, not-run
    And its field kind is vm

  Scenario: A watcher without a worker opens one ticket
    Given a fleet of its own
    When a watcher job runs and every worker dies
    And 90 seconds pass
    Then the fleet lists one ticket for unstaffed-singleton of the watcher

  Scenario: A second run of a task opens a ticket
    Given a fleet of its own
    When a home receives a report of a second run of one of its tasks
    And 3 seconds pass
    Then the fleet lists one ticket for duplicate-execution of the task
