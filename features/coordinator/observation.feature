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
