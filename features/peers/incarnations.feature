Feature: Messages of replaced processes are told apart from those of a new one

  A process that starts after its VM's clock was set back has a lower number than
  the one before it.  It is accepted once that one has been silent for 3 seconds.

  Scenario Outline: A message is accepted or dropped
    Given processes with lower numbers are accepted after 3 seconds
    When messages arrive as incarnation at second: <messages>
    Then those that are accepted are: <accepted>

    Examples: messages of one process after another
      | messages                              | accepted               |
      | 5 at 0, 5 at 1, 5 at 9                | yes, yes, yes          |
      | 5 at 0, 6 at 1                        | yes, yes               |
      | 5 at 0, 3 at 1, 3 at 2, 3 at 3        | yes, no, no, yes       |
      | 5 at 0, 3 at 3, 4 at 4, 2 at 5        | yes, yes, yes, no      |

    Examples: a late message of a process that has ended
      | messages                              | accepted               |
      | 5 at 0, 6 at 1, 5 at 2, 6 at 3        | yes, yes, no, yes      |
      | 5 at 0, 3 at 3, 5 at 4, 3 at 5        | yes, yes, no, yes      |
      | 5 at 1, 3 at 2, 5 at 3, 3 at 4        | yes, no, yes, no       |
      | 6 at 1, 5 at 2, 6 at 3                | yes, no, yes           |

    Examples: a late message while the present process is silent
      | messages                              | accepted               |
      | 5 at 0, 3 at 3, 5 at 7, 3 at 8, 3 at 10 | yes, yes, yes, no, yes |

  Scenario: Numbers only rise where set back clocks are not accepted
    When messages arrive as incarnation at second: 5 at 0, 3 at 60, 6 at 61, 5 at 90
    Then those that are accepted are: yes, no, yes, no

  Scenario: Another node's processes are numbered for themselves
    When messages of node a arrive as incarnation at second: 5 at 0
    And messages of node b arrive as incarnation at second: 3 at 1
    Then those that are accepted are: yes, yes
