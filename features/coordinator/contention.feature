Feature: Too little room for all who call

  Load: bursts of twice the usual beside organisations that send several times
  their share.  A worker holds eight tasks of 1 s each, so the cell runs 8 jobs a
  second.

  Scenario Outline: The order of two jobs by cost to the callers
    Given the policy "cost"
    And a waiting job "a" of <size> tasks, priority <priority>, that is <is>, at share step <step>
    And a waiting job "b" of <other size> tasks, priority <other>, that is <other is>, at share step <other step>
    Then "a" is placed <place> "b"

    Examples:
      | size | priority | is      | step | other size | other | other is | other step | place  |
      | 1    | 0        | useless | 0    | 1          | 2     | on time  | 0          | after  |
      | 1    | 0        | useless | 0    | 1          | 2     | on time  | 3          | after  |
      | 1    | 0        | on time | 1    | 1          | 2     | on time  | 0          | after  |
      | 1    | 0        | on time | 1    | 1          | 0     | on time  | 2          | before |
      | 1    | 0        | late    | 0    | 1          | 0     | on time  | 0          | after  |
      | 1    | 0        | late    | 0    | 1          | 2     | on time  | 0          | before |
      | 8    | 2        | on time | 0    | 2          | 2     | on time  | 0          | after  |

  Scenario Outline: A run gives way only to a job that goes first
    Given the policy "<policy>"
    And a waiting job "a" of 1 tasks, priority <priority>, that is on time, at share step <step>
    And a waiting job "b" of 1 tasks, priority 2, that is <is>, at share step <other step>
    Then runs of "b" <give> way to "a"

    Examples:
      | policy  | priority | step | is      | other step | give  |
      | urgency | 0        | 0    | on time | 0          | do    |
      | urgency | 0        | 1    | on time | 0          | do    |
      | urgency | 2        | 0    | useless | 0          | don't |
      | cost    | 0        | 0    | on time | 0          | do    |
      | cost    | 0        | 1    | on time | 0          | don't |
      | cost    | 2        | 0    | useless | 0          | do    |
      | cost    | 2        | 0    | on time | 1          | do    |
      | cost    | 2        | 0    | on time | 0          | don't |

  Scenario: A job that no longer helps anybody gives way to one that can be on time
    Given the policy "cost"
    And a waiting job "a" of 1 tasks, priority 2, that is on time, at share step 0
    And a waiting job "b" of 1 tasks, priority 0, that is useless, at share step 0
    Then "a" is placed before "b"
    And runs of "b" do way to "a"

  Scenario Outline: An occurrence counts from its due time on
    Given the policy "cost"
    And a waiting job "a" of priority 0 that was handed in <age> s ago and is due now
    And a waiting job "b" of 1 tasks, priority <priority>, that is on time, at share step <step>
    Then "a" is placed <place> "b"
    And runs of "a" don't way to "b"

    Examples:
      | age | priority | step | place  |
      | 15  | 2        | 4    | before |
      | 60  | 2        | 0    | before |

  Scenario: An occurrence is not overdue when it becomes due
    Given the policy "cost"
    And a waiting job "a" of priority 0 that was handed in 60 s ago and is due now
    And a waiting job "b" of 8 tasks, priority 2, that is overdue, at share step 4
    Then "a" is placed after "b"

  Scenario: No job waits for ever: the longest overdue goes before all others
    Given the policy "cost"
    And a waiting job "a" of 8 tasks, priority 2, that is overdue, at share step 4
    And a waiting job "b" of 1 tasks, priority 0, that is on time, at share step 0
    Then "a" is placed before "b"

  Scenario Outline: An overdue job that cannot be placed lets the next one go first
    Given the policy "cost"
    And a waiting job "a" of 1 tasks, priority 0, that is long overdue, at share step 0
    And a waiting job "b" of 1 tasks, priority 2, that is overdue, at share step 4
    And a waiting job "c" of 1 tasks, priority 0, that is on time, at share step 0
    And "a" waits for <obstacle>
    Then "b" is placed <place> "c"

    Examples:
      | obstacle             | place  |
      | quota                | before |
      | permission or worker | before |
      | room                 | after  |

  Scenario: An overdue job does not give way to others
    Given the policy "cost"
    And a waiting job "a" of 1 tasks, priority 2, that is overdue, at share step 4
    And a waiting job "b" of 1 tasks, priority 0, that is on time, at share step 0
    Then "a" is placed before "b"
    And runs of "a" don't way to "b"

  Scenario Outline: Only a job that is certain to be useless is refused
    Given the policy "<policy>"
    And 8 used cores and accepted jobs of <backlog> core-seconds
    When a job of 1 s with an objective of 2 s is handed in
    Then it is to be <action> for want of "<reason>"

    Examples:
      | policy  | backlog | action  | reason |
      | cost    | 0       | place   |        |
      | cost    | 32      | put-off | room   |
      | cost    | 72      | put-off | room   |
      | cost    | 96      | refuse  | room   |
      | urgency | 960     | put-off | room   |

  Scenario Outline: Nothing is refused beside idle workers
    Given the policy "cost"
    And <free> of 16 cores free beside <ahead>
    When a job of 1 s with an objective of 2 s is handed in
    Then it is to be place for want of ""

    Examples:
      | free | ahead                                          |
      | 8    | a wide urgent job that runs on the others      |
      | 15   | an urgent job of 20 steps, one after the other |
      | 15   | an organisation that waits for its quota       |
      | 16   | a timed job that is due in an hour             |

  Scenario: Work that waits for its own quota is not counted as ahead of others
    Given the policy "cost"
    And 0 of 16 cores free beside an organisation that waits for its quota
    When a job of 1 s with an objective of 2 s is handed in
    Then it is to be place for want of ""

  Scenario: Callers who are refused return one after another once there is room
    Given the policy "cost"
    And 8 used cores and accepted jobs of 96 core-seconds
    When 80 jobs of 1 s with an objective of 2 s are handed in
    Then the first is asked to return after 11 s and the last 9.875 s later

  Scenario: A caller who returns too early does not make others wait longer
    Given the policy "cost"
    And 8 used cores and accepted jobs of 96 core-seconds
    When a job of 1 s with an objective of 2 s is handed in 8 times
    Then it is asked to return after 11 s each time

  Scenario: REFUSED: a job that was refused never runs, one that is repeated keeps its answer
    Given a cell of 2 nodes and 1 worker with the policy "cost"
    When 1 s passes
    And 30 jobs of "acme" arrive each second for 6 s
    And all jobs of "acme" are handed in again
    And 40 s pass
    Then some jobs were refused with a time to return
    And no refused job has run
    And all accepted jobs have succeeded

  Scenario: REFUSED: nothing is refused before the authority is confirmed
    Given a cell of 2 nodes and 1 worker with the policy "cost"
    When 1 s passes
    And 30 jobs of "acme" arrive each second for 6 s
    And the coordinator's authority is not confirmed any more
    Then none of 60 further jobs of "acme" is refused

  Scenario: Small callers keep their latency beside a large one
    Given a cell of 2 nodes and 1 worker with the policy "cost"
    When 1 s passes
    And 14 jobs of "hot" and 4 of "small" arrive each second for 6 s
    And 30 s pass
    Then all jobs of "small" were on time
    And all accepted jobs have succeeded

  Scenario: A takeover in a burst neither forgets nor doubles debts
    Given an organisation with a share of 2 jobs a second
    And 14 of its jobs have been accepted, of which 7 have ended
    When a successor reads their records
    Then it knows the same share steps and debts

  Scenario: A takeover in the middle of a burst leaves small callers their latency
    Given a cell of 3 nodes and 1 worker with the policy "cost"
    When 1 s passes
    And 14 jobs of "hot" and 3 of "small" arrive each second for 3 s
    And the coordinator is killed
    And 3 s pass
    And a second burst begins
    And 14 jobs of "hot" and 3 of "small" arrive each second for 2 s
    And 30 s pass
    Then no job of "small" in the second burst waited longer than for a running task and the share of "hot"
    And all accepted jobs have succeeded

  Scenario Outline: Properties of every policy, for any crowd of jobs
    Then for any jobs under "<policy>" <property>

    Examples:
      | policy  | property                                              |
      | urgency | the order does not depend on the order of arrival     |
      | cost    | the order does not depend on the order of arrival     |
      | cost    | no two runs give way to each other                    |
      | cost    | no run gives way to a step that is placed later       |
      | cost    | one state gives one answer                            |
      | cost    | every job becomes the first in a bounded time         |
      | urgency | no worker is idle while a task that fits waits        |
      | cost    | no worker is idle while a task that fits waits        |
