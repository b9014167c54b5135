Feature: A machine that is suspended while its steady clock does not count

  # Guards against a report that is taken for a recent one after a suspension.
  Scenario Outline: TWICE: a coordinator whose machine was suspended acknowledges no ends unseen
    Given a cell of 1 node whose machine is suspended for 3 s <when> it reads a report of 3 ends
    When 2 s pass
    And a job "a" with steps of 3 tasks is submitted
    And 0.5 s pass
    And a job "b" whose order reaches the worker's next life meanwhile is submitted
    And 8 s pass
    Then job "b" is succeeded
    And no task of job "b" succeeded twice

    Examples: Around a report
      | when   |
      | before |
      | after  |
