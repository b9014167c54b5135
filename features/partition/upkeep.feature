Feature: Quarantine and preemption on the workers of a node

  Scenario: A worker that fails every task is quarantined
    Given a cluster of one rack whose worker 1 fails every task
    When 120 quick tasks come in
    Then all 120 tasks have succeeded within 120 s
    And worker 1 is in quarantine
    And worker 1 was given at most 24 of the tasks

  Scenario: Urgent tasks preempt running tasks
    Given a cluster of one rack that is full of checkpointable tasks
    When 4 urgent tasks come in
    Then the urgent tasks have started within 6.3 s
    And the preempted tasks have succeeded within 600 s

  Scenario: A task that must not run again is never preempted
    Given a cluster of one rack that is full of tasks that run once
    When 1 urgent tasks come in
    Then no task was preempted within 10 s
