Feature: Runs that make their job late move to faster workers

  Scenario Outline: A run moves if its job is then on time, and only then
    Given a run that saves its progress, on a worker with factor 1.7
    And its tasks take 10 s on a typical worker, and 20 percent are done in 3.4 s
    And its job has to end within <left> s
    And a worker with factor <factor> that has room for <room> tasks
    When the runs to move are looked for
    Then <moved>

    Examples: It ends in 13.6 s here; a move costs 0.85 s
      | left | factor | room | moved                     |
      | 9    | 0.7    | 1    | the run moves             |
      | 15   | 0.7    | 1    | no run moves              |
      | 6    | 0.7    | 1    | no run moves              |
      | 9    | 0.7    | 0    | no run moves              |
      | 9    | 1.6    | 1    | no run moves              |

  Scenario Outline: Runs that never move
    Given a <kind> run, on a worker with factor 1.7
    And its tasks take 10 s on a typical worker, and 20 percent are done in 3.4 s
    And its job has to end within 9 s
    And a worker with factor 0.7 that has room for 1 tasks
    When the runs to move are looked for
    Then no run moves

    Examples:
      | kind           |
      | unsaved        |
      | gang           |
      | stopping       |
      | not permitted  |

  Scenario Outline: Room that is kept for an urgent step is no room for a move
    Given a run that saves its progress, on a worker with factor 1.7
    And its tasks take 10 s on a typical worker, and 20 percent are done in 3.4 s
    And its job has to end within 9 s
    And a worker with factor 0.7 that has room for <room> tasks
    And the room on that worker is kept for an urgent step
    When the worker of the run reports
    Then the run <goes>
    And the room on the other worker is still kept for the urgent step

    Examples:
      | room | goes       |
      | 1    | continues  |
      | 2    | is stopped |

  Scenario: A task with a data rack stays
    Given a run that saves its progress, on a worker with factor 1.7
    And its data is in rack "r1"
    And its tasks take 10 s on a typical worker, and 20 percent are done in 3.4 s
    And its job has to end within 9 s
    And a worker with factor 0.7 that has room for 1 tasks
    When the runs to move are looked for
    Then no run moves

  Scenario: One run of a step on several workers moves at a time
    Given runs of one step that save their progress, on 5 workers with factor 1.7
    And its tasks take 10 s on a typical worker, and 20 percent are done in 3.4 s
    And its job has to end within 9 s
    And a worker with factor 0.7 that has room for 5 tasks
    When all workers report
    Then 1 run is stopped for a faster worker
    When the stopped run goes on elsewhere and all workers report
    Then 2 runs are stopped for a faster worker

  Scenario: A task moves to a faster worker only once
    Given runs of one step that save their progress, on 1 worker with factor 1.7
    And its tasks take 10 s on a typical worker, and 20 percent are done in 3.4 s
    And its job has to end within 9 s
    And a worker with factor 0.7 that has room for 1 tasks
    When all workers report
    Then 1 run is stopped for a faster worker
    When the stopped run goes on where it was and all workers report
    Then 1 run is stopped for a faster worker

  Scenario: Time for new permissions counts
    Given a run that saves its progress, on a worker with factor 1.7
    And its permission requests take 3 s
    And its tasks take 10 s on a typical worker, and 20 percent are done in 3.4 s
    And its job has to end within 9 s
    And a worker with factor 0.7 that has room for 1 tasks
    When the runs to move are looked for
    Then no run moves

  Scenario: One run of a step moves at a time
    Given 3 runs of a step that save their progress, on a worker with factor 1.7
    And its tasks take 10 s on a typical worker, and 20 percent are done in 3.4 s
    And its job has to end within 9 s
    And a worker with factor 0.7 that has room for 3 tasks
    When the runs to move are looked for
    Then 1 run moves

  Scenario: A run that moves is stopped and room is kept for it
    Given a run that saves its progress, on a worker with factor 1.7
    And its tasks take 10 s on a typical worker, and 20 percent are done in 3.4 s
    And its job has to end within 9 s
    And a worker with factor 0.7 that has room for 1 tasks
    When the worker of the run reports
    Then the run is stopped
    And the room on the other worker is kept for it
