Feature: Decision log and metrics of a node

  Scenario: Each line is JSON with the node, the event and its fields
    Given a decision log of node "n1"
    When the event "start" is written with task "a.0.0.0"
    Then the last line has node "n1", event "start" and task "a.0.0.0"

  Scenario: Lines beyond the budget are counted, and the next line states their number
    Given a decision log of node "n1"
    When 250 events "start" are written within a second
    Then 200 lines were written
    When another event is written more than a second later
    Then the last line says that 50 lines were dropped
    And the metrics count 251 events "start"

  Scenario: A full pipe drops lines and never blocks
    Given a decision log of node "n1" whose pipe is full
    When 3 events "start" are written within a second
    Then 0 lines were written
    When the pipe is read and another event is written
    Then the last line says that 3 lines were dropped

  Scenario: Durations are counted in buckets
    Given a decision log of node "n1"
    When durations of 0.004 s and 40 s are observed for "append"
    Then the metrics have 1 duration of "append" up to 0.005 s and 2 in total

  Scenario: The metrics of the coordinator have the speeds of the kinds
    Given a cell of 2 nodes and 6 workers
    And workers "w3", "w4" and "w5" are of a kind on which tasks take 2.5 times as long
    When 1 s passes
    And 12 jobs of 6 urgent tasks that take 0.4 s are submitted 1.2 s apart
    And 1 s passes
    Then the metrics of the coordinator show that kind "b" is slower than kind "a"
    When the coordinator leaves
    And 1 s passes
    Then the metrics of the former coordinator show no speeds

  Scenario: A node tells when its event loop was held up
    Given a cell of 2 nodes and 1 worker
    When 1 s passes
    Then no delay of the event loop is logged
    When the event loop is held up for 0.6 s
    And 1 s passes
    Then a delay of the event loop of 0.2 s or more is logged
    And the metrics of each node count a "loop-delay" of 0.2 s or more
