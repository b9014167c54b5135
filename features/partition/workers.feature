Feature: Workers that fail

  The tasks of a worker that no longer replies start again on other workers once
  their leases have certainly lapsed, and never before.

  Scenario Outline: A worker that is <fault>
    Given a fleet of one rack
    And 6 tasks of ledger that run 40 s
    When a worker of the job is <fault> for <seconds> s
    Then within 120 s the job has ended with 6 succeeded
    And <starts> tasks were started
    And every guarantee held

    Examples: a lease is 15 s
      | fault                      | seconds | starts |
      | dead                       | 60      | 12     |
      | paused                     | 5       | 6      |
      | paused                     | 60      | 12     |
      | losing its replies         | 10      | 6      |
      | losing its replies         | 60      | 12     |
      | unreachable from the owner | 5       | 6      |
      | unreachable from the owner | 60      | 12     |

  Scenario Outline: Tasks of billing at a worker that is <fault>
    Given a fleet of one rack
    And 4 tasks of billing that run 40 s
    When a worker of the job is <fault> for 60 s
    Then within 120 s the job has ended with 4 unknown
    And 4 tasks were started
    And every guarantee held

    Examples:
      | fault                      |
      | dead                       |
      | paused                     |
      | unreachable from the owner |

  Scenario: A stray run is stopped
    Given a fleet of one rack
    And 2 tasks of ledger that run 40 s
    When a worker starts a task that its owner does not know
    Then within 3 s the unknown task is stopped
    And within 60 s the job has ended with 2 succeeded
