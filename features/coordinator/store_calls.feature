Feature: Rate of the coordinator's calls to the store

  Scenario: Frequent changes of workers' entries are read a few times a second
    Given a cell of 2 nodes and 2 workers
    When 2 s pass
    And the calls to the store are counted from now on
    And 50 entries of workers are written in 2 s
    Then the workers' entries were read at most 12 times

  Scenario: The coordinator soon knows a worker that joins
    Given a cell of 2 nodes and 1 worker
    When 2 s pass
    And another worker joins
    And 0.4 s pass
    Then the coordinator knows 2 workers

  Scenario: The end of a run and the starts for which it makes room share an append
    Given a cell of 2 nodes and 1 worker
    When 1 s passes
    And the calls to the store are counted from now on
    And a job "a" with steps of 40 tasks is submitted
    And 7 s pass
    Then job "a" is succeeded
    And the jobs' records were appended to at most 8 times

  Scenario Outline: Appends of a slow store are logged with their size
    Given a cell of 2 nodes and 1 worker
    When 1 s passes
    And the store takes <reply> s to reply
    And a job "a" with steps of 4 tasks is submitted
    And 4 s pass
    Then <logged> append is logged as slow

    Examples:
      | reply | logged |
      | 0.3   | an     |
      | 0.05  | no     |
