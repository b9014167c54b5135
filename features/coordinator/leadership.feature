Feature: Changes of the coordinator

  Scenario: A renewal that lands after the next claim is refused
    Given a cell of 3 nodes and 2 workers
    When 1 s passes
    And the store takes 0.4 s to reply
    And the next renewal of the coordinator is lost
    And 4 s pass
    Then the epochs in the store never went back
    And each epoch has one coordinator
    And one node coordinates

  Scenario: A release is stored although a renewal before it was lost
    Given a cell of 3 nodes and 2 workers
    When 1 s passes
    And the next renewal of the coordinator is lost
    And the coordinator leaves
    And 0.3 s pass
    Then one node coordinates

  Scenario: A claim without a reply is served once it is read
    Given a cell of 2 nodes and 1 worker
    When 1 s passes
    And the other node loses the next reply of the store
    And the coordinator is killed
    And 3 s pass
    Then one node coordinates
    And exactly 2 epochs have been claimed

  Scenario: A coordinator that the store turns away hands over at once
    Given a cell of 3 nodes and 2 workers
    When 1 s passes
    And 1 s passes
    And the store turns the coordinator away
    And a job "a" is submitted through every node at once
    And 0.3 s pass
    Then another node coordinates
    And every submission of job "a" was accepted

  Scenario: A coordinator without replies of the store hands over
    Given a cell of 3 nodes and 2 workers
    When 1 s passes
    And 1 s passes
    And the coordinator is cut from the store
    And 0.9 s pass
    Then another node coordinates

  Scenario: Nobody takes over while the store turns all nodes away
    Given a cell of 3 nodes and 2 workers
    When 1 s passes
    And 1 s passes
    And the store is down
    And 3 s pass
    Then exactly 1 epoch has been claimed
    And the coordinator has asked others to take over at most 6 times

  Scenario: A refused append is repeated ever more rarely
    Given a cell of 2 nodes and 1 worker
    When 1 s passes
    And the store is down
    And the calls to the store are counted from now on
    And a job "a" is submitted and times out after 0.5 s
    And 2 s pass
    Then the jobs' records were appended to at most 8 times

  Scenario: A slow store is no reason for a change
    Given a cell of 3 nodes and 2 workers
    When 1 s passes
    And 1 s passes
    And the store takes 0.45 s to reply
    And 6 s pass
    Then exactly 1 epoch has been claimed

  Scenario: A record that cannot be decoded does not keep a node from leading
    Given a store whose record of epoch 5 has been overwritten with other bytes
    And 2 nodes start
    When 4 s pass
    Then one node coordinates
    And the epoch is above 5

  Scenario: A request is refused at once if no coordinator has come in time
    Given a cell of 2 nodes and 1 worker
    When 1 s passes
    And the coordinator stops serving but renews its record
    And a job "a" is refused within 2 s as not run
    Then 10 more jobs are refused within 0.3 s as not run
    When the coordinator serves again
    And 1 s passes
    Then a job "b" is accepted within 0.5 s

  Scenario: A request to a coordinator that has died goes to its successor
    Given a cell of 3 nodes and 2 workers
    When 1 s passes
    And the coordinator is killed
    And 0.4 s pass
    And a job "a" is submitted through every node at once
    And 0.9 s pass
    Then one node coordinates
    And every submission of job "a" was accepted within 1 s

  Scenario: A successor that has not been asked yet is asked at once
    Given a cell of 2 nodes and 1 worker
    When 1 s passes
    And the coordinator stops serving but renews its record
    And a job "a" is refused within 2 s as not run
    And the coordinator leaves
    And 0.3 s pass
    Then 10 more jobs are accepted within 0.3 s

  Scenario Outline: The node to ask to take over
    Given nodes of fitness "<fitness>"
    And nodes "<declined>" have declined
    Then "<chosen>" is asked to take over

    Examples:
      | fitness               | declined | chosen |
      | a=1.0 b=2.0 c=1.9     |          | b      |
      | a=1.0 b=2.0 c=1.9     | b        | c      |
      | a=1.0 b=2.0 c=1.9     | b c      | b      |
