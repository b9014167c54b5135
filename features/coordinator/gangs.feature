Feature: Gangs on workers that run them only together

  Background:
    Given a cell of 2 nodes and 4 workers
    And the tasks of job "a" work only as a gang of 3
    When 1 s passes

  Scenario: A gang that loses a member runs again as a whole
    When a job "a" with a gang of 3 tasks for different workers is submitted
    And 0.6 s pass
    And a worker of the gang restarts
    And 4 s pass
    Then job "a" is succeeded
    And the runs of the gang ended as
      | run | outcomes                |
      | 1   | broken, broken, crashed |
      | 2   | done, done, done        |

  Scenario Outline: A gang of which a worker refuses a member is stopped at once
    When worker "w0" refuses orders as "<cause>"
    And a job "a" with a gang of 3 tasks for different workers is submitted
    And 5 s pass
    Then job "a" is succeeded
    And the runs of the gang ended as
      | run | outcomes         |
      | 1   | stopped, stopped |
      | 2   | done, done, done |

    Examples:
      | cause     |
      | no-room   |
      | unhealthy |

  Scenario: A gang whose members all work ends once
    When a job "a" with a gang of 3 tasks for different workers is submitted
    And 3 s pass
    Then job "a" is succeeded
    And the runs of the gang ended as
      | run | outcomes         |
      | 1   | done, done, done |
