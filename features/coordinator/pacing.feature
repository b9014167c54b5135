Feature: Fillers beside serving tasks

  Scenario Outline: The next speed of a filler
    Given a filler at <percent> percent
    And the worst serving task is at <pressure> of its latency target
    Then the filler's next speed is <next> percent

    Examples:
      | percent | pressure | next |
      | 100     | 0.5      | 100  |
      | 100     | 0.9      | 50   |
      | 50      | 0.9      | 25   |
      | 25      | 0.9      | 0    |
      | 0       | 0.9      | 0    |
      | 0       | 0.5      | 20   |
      | 90      | 0.5      | 100  |
      | 40      | 0.7      | 40   |
      | -1      | 0.5      | 70   |

  Scenario: Only fillers beside a serving task near its target are slowed
    Given a worker with a serving task at 95 of 100 ms and a filler
    Then the filler is slowed to 50 percent
    And no other task's speed changes

  Scenario: A filler is placed on a worker without serving tasks
    Given workers "w1" with a serving task and "w2" with less room
    When a filler is placed
    Then it is placed on "w2"

  Scenario: A task goes only to workers with the label that it requires
    Given workers "w1" with label "a" and "w2" with label "b"
    When a task that requires "b" is placed
    Then it is placed on "w2"

  Scenario: No more tasks of a step than allowed run on one worker
    Given workers "w1" with label "a" and "w2" with label "b"
    When 6 tasks of a step that allows 2 on a worker are placed
    Then 4 of them are placed, 2 on each worker

  Scenario Outline: Accelerators are filled worker by worker
    Given a worker "w1" with <first> free accelerators and "w2" with <second>
    When a task that needs <count> accelerators is placed
    Then it is placed on "<chosen>"

    Examples:
      | first | second | count | chosen |
      | 8     | 3      | 1     | w2     |
      | 2     | 8      | 2     | w1     |
      | 3     | 8      | 4     | w2     |
      | 8     | 0      | 0     | w2     |
