Feature: Planned changes of the coordinator

  Scenario Outline: A planned stop leaves almost no time without a coordinator
    Given a cell of 3 nodes and 2 workers
    When 2 s pass
    And the store takes <reply> s to reply
    And 1 s passes
    And the coordinator leaves while the others are watched
    Then another node coordinates
    And no node coordinated for at most <gap> s

    Examples: The successor loads in the time of one reply
      | reply | gap  |
      | 0.004 | 0.03 |
      | 0.3   | 0.4  |

  Scenario: A successor loads in the time of two replies at most
    Given a cell of 3 nodes and 2 workers
    When 1 s passes
    And the store takes 0.3 s to reply
    And 1 s passes
    And the coordinator is killed
    And 4 s pass
    Then one node coordinates
    And its jobs were loaded within 0.65 s

  Scenario Outline: Callers hardly notice a planned stop
    Given a cell of 3 nodes and 2 workers
    When 2 s pass
    And the store takes <reply> s to reply
    And 1 s passes
    And jobs are submitted through every node 20 times a second
    And the coordinator leaves while the others are watched
    Then every one of these jobs was accepted within <time> s

    Examples: A normal submission takes one reply of the store
      | reply | time |
      | 0.004 | 0.15 |
      | 0.3   | 1.0  |

  Scenario: A node that is leaving is not asked twice to take over
    Given a cell of 3 nodes and 2 workers
    When 2 s pass
    And the node that would be asked to take over begins to leave
    And the coordinator leaves while the others are watched
    Then another node coordinates
    And no node coordinated for at most 0.05 s

  Scenario: A coordinator without another node releases its record
    Given a cell of 1 nodes and 1 worker
    When 1 s passes
    And the coordinator leaves while the others are watched
    Then the newest record of the leader is released

  Scenario: A node that has handed over leaves the record to its successor
    Given a cell of 3 nodes and 2 workers
    When 2 s pass
    And replies to claims and renewals take 0.05 s more than reads
    And the store turns the coordinator away
    And 1 s passes
    And the store turns the coordinator away
    And 2 s pass
    Then one node coordinates
    And exactly 3 epochs have been claimed

  Scenario: A gang is not split by a planned stop
    Given orders to workers take up to 0.03 s
    Then no gang is split whenever the coordinator leaves within 0.06 s
