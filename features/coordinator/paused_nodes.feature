Feature: Nodes that stand still in virtual time

  Scenario: timers of a paused process run in order when it is resumed
    Given processes "a" and "b" that note their name each second
    When process "a" is paused from 0.5 s to 2.5 s
    Then the notes are "b at 1.1, b at 2.1, a at 2.5, a at 2.5, a at 3, b at 3.1"

  Scenario: a paused coordinator sends nothing while another one takes over
    Given a cell of 3 nodes and 4 workers
    When 2 s pass
    And the coordinator is paused
    And 4 s pass
    Then the paused node has called neither the store nor a worker
    And a node that is not paused coordinates
    When the paused node is resumed
    And 1 s passes
    Then only the other node coordinates

  Scenario: an order that has left a node is carried out while it is paused
    Given a cell of 3 nodes and 4 workers
    And orders are 0.2 s on their way
    When 2 s pass
    And a job "a" with steps of 1 task is submitted
    And 0.1 s pass
    And the coordinator is paused
    Then job "a" has begun 0 times
    When 0.2 s pass
    Then job "a" has begun 1 time
    When the paused node is resumed
    And 2 s pass
    Then job "a" has begun 1 time
