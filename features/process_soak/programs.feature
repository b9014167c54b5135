Feature: Two programs beside each other

  Scenario Outline: Each start of a node is of the other program
    Given a source tree as the other program, which is <first>
    When 2 nodes are started 3 times
    Then the nodes have run the programs "<programs>"

    Examples: programs of each node, in the order of its starts
      | first      | programs                                   |
      | the second | present other present, other present other |
      | the first  | other present other, present other present |

  Scenario: A folder without the program is refused
    When a folder without a program is named as the other program
    Then it is refused

  Scenario: A run with two programs keeps every promise
    Given a source tree as the other program, which is the second
    When seed 2 runs for 6 s with 3 nodes of the two programs
    Then no promise was broken
    And each program was started at least once
