Feature: Answers that a job is unknown
  A coordinator gives them only while it can have no successor.

  Scenario: LOST: a coordinator that may have a successor does not show a job as unknown
    Given a cell of 3 nodes and 1 worker
    When 2 s pass
    And a successor accepts job "a" while the coordinator is cut off
    Then the former coordinator does not show job "a" as unknown

  # A confirmation of the authority is no proof that the records were read.
  Scenario: LOST: a confirmed coordinator that is still loading shows no job as unknown
    Given a cell of 3 nodes and 4 workers
    And tasks of job "a" take 6 s
    When 1 s passes
    And a job "a" with steps of 4 tasks is submitted
    And 1 s passes
    And the records of jobs take 1.5 s to be read
    And the coordinator is killed
    And job "a" is submitted and its status requested repeatedly for 4 s
    Then no reply said that job "a" does not exist
    When 6 s pass
    Then job "a" is succeeded
    And each task of job "a" ran once

  Scenario: A coordinator answers that a job is unknown once it is confirmed
    Given a cell of 3 nodes and 1 worker
    When 2 s pass
    Then the coordinator answers within 0.5 s that a job is unknown

  # Guards against requests that are kept without a bound while none is confirmed.
  Scenario: OVERLOAD: few requests for unknown jobs wait for a confirmation
    Given a cell of 3 nodes and 1 worker
    When 2 s pass
    And the coordinator is cut off and asked for 2000 unknown jobs
    Then no more than 512 of the requests have waited, and none waits
    And none of the jobs was said to be unknown
