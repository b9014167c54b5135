Feature: More work than the fleet can run

  A worker holds eight tasks of 1 s each, so the cell runs 8 jobs a second.

  Scenario: Jobs that can be on time are not held up by those that cannot
    Given a cell of 2 nodes and 1 worker
    When 1 s passes
    And 16 jobs of "acme" arrive each second for 6 s
    And 20 s pass
    Then at least 36 jobs of "acme" were on time
    And all jobs of "acme" have succeeded

  Scenario: Wide jobs do not make small ones late
    Given a cell of 2 nodes and 1 worker
    When 1 s passes
    And 2 jobs of 8 tasks of "wide" and 3 of "acme" arrive each second for 6 s
    And 20 s pass
    Then all jobs of "acme" were on time
    And all jobs of "wide" have succeeded

  Scenario: An organisation that sends too much waits for the others
    Given a cell of 2 nodes and 1 worker
    When 1 s passes
    And 14 jobs of "hot" and 4 of "acme" arrive each second for 6 s
    And 12 s pass
    Then all jobs of "acme" were on time
    And all jobs of "hot" have succeeded

  Scenario Outline: The order of two steps under the default policy
    Given a job of priority <first> that is <is> and <share> its share
    And a job of priority <second> that is <other> and <other share> its share
    Then the first job is placed <place>

    Examples:
      | first | is      | share  | second | other   | other share | place  |
      | 0     | on time | within | 2      | on time | within      | before |
      | 0     | late    | within | 2      | on time | within      | before |
      | 0     | late    | within | 0      | on time | within      | after  |
      | 0     | useless | within | 0      | late    | within      | after  |
      | 0     | on time | beyond | 2      | late    | within      | after  |
      | 2     | on time | within | 0      | on time | beyond      | before |

  Scenario: A share is a number of jobs a second with room for bursts
    Given an organisation with a share of 2 jobs a second
    When it sends 10 jobs at once
    Then 6 of them are within its share
    When it sends 5 jobs 1 s later
    Then 2 of them are within its share
