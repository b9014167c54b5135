Feature: Election of a coordinator with sufficient resources

  Scenario Outline: Fitness of a node by its resources and its distance from the store
    Then a node <place> the store with <cores> cores and a link of <link> Mbit/s has fitness <fitness>

    Examples:
      | place    | cores | link | fitness |
      | near     | 1     | 1000 | 1       |
      | near     | 2     | 100  | 2       |
      | far from | 2     | 100  | 1       |
      | near     | 0.5   | 10   | 0.05    |

  Scenario: A strong node claims first
    Given a cell of 2 weak nodes, 2 strong nodes and 2 workers
    When 1 s passes
    Then the coordinator is strong

  Scenario: A strong node succeeds a strong one
    Given a cell of 2 weak nodes, 2 strong nodes and 2 workers
    When 2 s pass
    And the coordinator is killed
    And 1.5 s pass
    Then the coordinator is strong

  Scenario: A weak node coordinates if no other node is left
    Given a cell of 2 weak nodes, 1 strong node and 2 workers
    When 2 s pass
    And the coordinator is killed
    And 3.5 s pass
    Then one node coordinates

  Scenario: A weak coordinator hands over to a strong node that starts later
    Given a cell of 2 weak nodes, 0 strong nodes and 2 workers
    And tasks of job "a" take 8 s
    When 4 s pass
    And a job "a" with steps of 4 tasks is submitted
    And a strong node starts
    And 5 s pass
    Then the coordinator is strong
    When 6 s pass
    Then job "a" is succeeded
    And each task of job "a" ran once

  Scenario: Nodes that do not claim first do not read the leader's record
    Given a cell of 4 weak nodes, 2 strong nodes and 2 workers
    When 3 s pass
    And the reads of the leader's record are counted from now on
    And 3 s pass
    Then weak nodes have read the leader's record at most 0 times

  Scenario: All nodes soon know the successor of a coordinator that is cut from the store
    Given a cell of 3 weak nodes, 2 strong nodes and 2 workers
    When 3 s pass
    And the coordinator is cut from the store
    And 4 s pass
    Then every node but the one that is cut from the store knows the new coordinator
