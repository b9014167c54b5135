Feature: A home divides its pending tasks over the nodes with room
  A task that is offered to one node is decided and booked once.

  Scenario: The parts of a young class add up to it
    Then for any rooms the parts of a young class add up to its count

  Scenario Outline: Parts follow the room that a node has free
    Given nodes with room for <rooms> tasks
    When <count> young tasks are divided
    Then the nodes are offered <offers>

    Examples:
      | rooms   | count | offers |
      | 10 10   | 8     | 4 4    |
      | 30 10   | 8     | 6 2    |
      | 10 0    | 8     | 8 0    |
      | 0 0     | 8     | 8 8    |

  Scenario: A single task goes to the nodes in turn
    Given nodes with room for 10 10 10 tasks
    When 1 young task is divided 3 times
    Then each node is offered it once

  Scenario: Tasks that still wait are offered to every node
    Given nodes with room for 10 10 tasks
    When 8 tasks that wait for 1.5 seconds are divided
    Then the nodes are offered 8 8

  Scenario: A reply offers what is left of the node's part
    Given nodes with room for 10 10 tasks
    When 8 young tasks are divided
    And the first node is handed 3 of them
    Then the nodes are offered 1 4

  Scenario: Growing old changes what has to be published
    Then the signature of a class changes once it is offered to all
