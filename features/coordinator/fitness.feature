Feature: The coordination goes to a node that can bear it

  Scenario Outline: How fit a node is
    Then a node <place> the store with <cores> cores and a link of <link> Mbit/s is as fit as <fitness>

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

  Scenario: Weak nodes coordinate where no other is left
    Given a cell of 2 weak nodes, 1 strong node and 2 workers
    When 2 s pass
    And the coordinator is killed
    And 3.5 s pass
    Then one node coordinates

  Scenario: A weak coordinator hands over to a strong node that came later
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

  Scenario: Nodes that would not claim at once leave the record alone
    Given a cell of 4 weak nodes, 2 strong nodes and 2 workers
    When 3 s pass
    And the reads of the leader's record are counted from now on
    And 3 s pass
    Then weak nodes have read the leader's record at most 0 times

  Scenario: A coordinator that is cut from the store misleads nobody for long
    Given a cell of 3 weak nodes, 2 strong nodes and 2 workers
    When 3 s pass
    And the coordinator is cut from the store
    And 4 s pass
    Then every node but the one that is cut knows the new coordinator
