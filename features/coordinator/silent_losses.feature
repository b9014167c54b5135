Feature: Entries of workers settle the losses that they concern

  Scenario Outline: Only tasks of the worker, or of one at its address, are examined
    Given task "a" was lost on silent worker "w1" at address "A"
    And task "b" was lost on silent worker "w2" at address "B"
    And task "c" was lost on silent worker "w3" at address "A"
    When worker "<worker>" at address "<address>" writes its entry
    Then the tasks examined are "<tasks>"

    Examples:
      | worker | address | tasks |
      | w2     | B       | b     |
      | w2     | C       | b     |
      | w9     | A       | a c   |
      | w2     | A       | a b c |
      | w9     | C       |       |

  Scenario: A task whose losses are settled is examined no more
    Given task "a" was lost on silent worker "w1" at address "A"
    And task "b" was lost on silent worker "w1" at address "A"
    When the losses of task "a" are settled
    And worker "w9" at address "A" writes its entry
    Then the tasks examined are "b"
    When the losses of task "b" are settled
    Then no address is kept
