Feature: Leases that earlier coordinators have granted

  # Guards against a wait that begins anew with each coordinator.
  Scenario Outline: LOST: a long-running task of a lost worker soon runs again
    Given a cell of 6 nodes and 8 workers, and <far> far node
    When 2 s pass
    And a job "a" with a long-running task is submitted
    And 1 s pass
    And the worker of job "a" is lost
    And 0.2 s pass
    And <kills> coordinators are killed <gap> s apart
    And <stops> coordinators leave 3 s apart
    Then job "a" runs again within <limit> s of the loss

    Examples:
      | far | kills | gap | stops | limit |
      | 0   | 1     | 2   | 0     | 11    |
      | 1   | 1     | 3.2 | 1     | 11    |
      | 0   | 3     | 2   | 0     | 11    |
      | 1   | 2     | 3.2 | 2     | 11    |

  Scenario: LOST: the wait for leases does not begin anew with a coordinator
    Given a cell of 6 nodes and 8 workers
    When 2 s pass
    And a job "a" with a long-running task is submitted
    And 1 s pass
    And the worker of job "a" is lost
    And 0.2 s pass
    And 3 coordinators are killed 3 s apart
    Then job "a" runs again within 11 s of the loss

  Scenario Outline: TWICE: no task of a worker that is cut off runs twice
    Given a cell of 6 nodes and 8 workers
    When 2 s pass
    And a job "a" with a long-running task is submitted
    And 1 s pass
    And <kills> coordinators are killed <gap> s apart
    And the worker of job "a" is cut off
    And <more> coordinators are killed <gap> s apart
    And 16 s pass
    Then no two runs of job "a" overlap
    And task 0 of job "a" has begun at least 2 times

    Examples:
      | kills | gap | more |
      | 0     | 2   | 1    |
      | 1     | 1.3 | 1    |
      | 1     | 2   | 1    |
      | 1     | 3   | 2    |
      | 2     | 1.6 | 2    |

  Scenario: TWICE: a coordinator that is cut from the others renews leases for a while
    Given a cell of 4 nodes and 8 workers
    When 2 s pass
    And a job "a" with a long-running task is submitted
    And 1 s pass
    And the worker of job "a" is reached by the present coordinator alone
    And the coordinator is cut off from the other nodes and the store
    And 20 s pass
    Then no two runs of job "a" overlap
    And task 0 of job "a" has begun 2 times

  Scenario: TWICE: no lease is extended before the contact is stored
    Given a cell of 3 nodes and 4 workers
    When 2 s pass
    And a job "a" with a long-running task is submitted
    And 1 s pass
    And the coordinator is killed
    And the next coordinator's contacts with workers are not stored
    And 3 s pass
    Then no lease of the worker of job "a" has been extended since

  Scenario: The contact with a worker that has left is forgotten
    Given a cell of 1 nodes and 4 workers
    When 2 s pass
    Then the store holds the contacts with 4 workers
    When the entry of worker "w0" is withdrawn and it is lost
    And 12 s pass
    Then the store holds the contacts with 3 workers

  Scenario Outline: The age of a claim is the least that is certain
    Given a node whose clock shows 100 s
    And it has read a record with claims of <ages>
    When its clock shows 103 s
    Then the claim after epoch <epoch> is <age> s old

    Examples:
      | ages             | epoch | age |
      | 4: 1 s           | 3     | 4   |
      | 4: 1 s           | 4     | 0   |
      | 4: 9 s, 5: 2 s   | 3     | 12  |
      | 4: 9 s, 5: 2 s   | 4     | 5   |
      | 5: 0 s           | 2     | 3   |

  Scenario: The record of an earlier version has no claims
    When a node reads the record of an earlier version for epoch 7
    Then contacts count only from epoch 8 on
