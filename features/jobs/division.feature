Feature: A home divides its pending tasks among the nodes with room
  A task that is offered to only one node is placed and booked only once.

  Scenario: The parts of a new class add up to its count
    Then for any free room the parts of a new class add up to its count

  Scenario Outline: Parts are proportional to the free room of the nodes
    Given nodes with room for <rooms> tasks
    When <count> new tasks are divided
    Then the nodes are offered <offers>

    Examples:
      | rooms   | count | offers |
      | 10 10   | 8     | 4 4    |
      | 30 10   | 8     | 6 2    |
      | 10 0    | 8     | 8 0    |
      | 0 0     | 8     | 8 8    |

  Scenario: A single task goes to the nodes in rotation
    Given nodes with room for 10 10 10 tasks
    When 1 new task is divided 3 times
    Then each node is offered it once

  Scenario: Tasks that still wait are offered to every node
    Given nodes with room for 10 10 tasks
    When 8 tasks that have waited for 1.5 seconds are divided
    Then the nodes are offered 8 8

  Scenario: A reply offers the rest of the node's part
    Given nodes with room for 10 10 tasks
    When 8 new tasks are divided
    And 3 of them are handed out to the first node
    Then the nodes are offered 1 4

  Scenario: A class is published again once it is offered to every node
    Then the signature of a class changes once it is offered to every node
