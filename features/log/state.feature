Feature: The folded state
  Every node folds the same entries and computes the same state, whether it read
  them live, replayed them, or started from a snapshot.

  Scenario: A snapshot and the tail equal a full replay
    When random records are logged by writers that repeat their batches
    Then at every cut a snapshot and the tail give the state of a full replay

  Scenario: A repeated batch changes nothing
    When random records are logged by writers that repeat their batches
    Then the state is as if the repeated batches were not there

  Scenario: A repeated transfer moves once
    Given a document and a transfer of 4 tasks from region a to region b
    When the batch of the transfer is logged 2 times more
    Then region b has 4 tasks more than by weight

  Scenario Outline: Claims of one unit
    Given the claims <claims> are logged
    Then the unit is owned by "<owner>" in epoch <epoch>

    Examples:
      | claims                | owner | epoch |
      | a1                    | a     | 1     |
      | a1 b1                 | a     | 1     |
      | a1 b2 a2              | b     | 2     |
      | a1 b3                 | a     | 1     |
      | b2                    | none  | 0     |
      | a1 b2 c3 b2           | c     | 3     |

  Scenario Outline: Documents that operators submit concurrently
    Given documents made from the bases <bases> are logged
    Then the versions in force came from the documents <accepted>

    Examples:
      | bases   | accepted |
      | 0       | 1        |
      | 0 0     | 1        |
      | 0 1 1   | 1 2      |
      | 0 2 1   | 1 3      |
      | 5 0 2 2 | 2 3      |

  Scenario: The first logged end of a task counts
    Given a job of 3 tasks is accepted
    When task 1 ends as lost and then as succeeded
    And task 7 ends as failed
    Then the job's ended tasks are 1 as lost

  Scenario: A job of a known id changes nothing
    Given a job of 3 tasks is accepted
    When the same job is accepted again after it ended
    Then no job is active and 1 job has ended

  Scenario: Ended jobs are kept for a bounded time
    Given a job of 3 tasks is accepted
    When it ended and another job ends 25 h later
    Then no job is active and 1 job has ended

  Scenario: An entry that is no batch is skipped and counted
    When an entry of random bytes is logged before a claim
    Then the claim is in the state and 1 entry is counted as undecodable
