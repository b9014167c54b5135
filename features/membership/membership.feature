Feature: Nodes know which others live

  Scenario Outline: How a peer's silence is judged
    Given a peer that replies every second for 30 seconds
    When it is silent for <silence> seconds
    Then it is <state>

    Examples:
      | silence | state   |
      | 1       | alive   |
      | 2       | alive   |
      | 3       | suspect |
      | 6       | dead    |

  Scenario: A pause as long as an earlier one does not make a peer suspect
    Given a peer that replies every second for 30 seconds
    When it is silent for 4 seconds and then replies for 3 seconds
    Then it is alive
    When it is silent for 4 seconds
    Then it is alive

  Scenario: A slow link does not flap
    Given a peer that replies every 4 seconds for 80 seconds
    When it replies every 4 seconds for 400 seconds
    Then its state has not changed

  Scenario: A peer that was dead must answer twice
    Given a peer that replies every second for 30 seconds
    When it is silent for 20 seconds
    Then it is dead
    When it replies
    Then it is dead
    When it replies
    Then it is alive

  Scenario: A node that was itself paused suspects nobody
    Given a peer that replies every second for 30 seconds
    When the node itself does not run for 10 seconds
    Then it is alive

  Scenario: A VM that is not listed yet is a member once it is heard
    Given a running cluster of 2 near and 0 far nodes
    When node n9 starts and the VM list does not show it
    And 5 seconds pass
    Then n0 sees n9 as alive

  Scenario: A node that returns under its name is a new incarnation
    Given a running cluster of 2 near and 0 far nodes
    When node n1 restarts
    And 5 seconds pass
    Then n0 sees n1 as alive in a new incarnation
    And n0 knows that the former n1 has ended

  Scenario: A leaving node is not dead
    Given a running cluster of 2 near and 0 far nodes
    When the platform lists n1 as leaving
    And 10 seconds pass
    Then n0 sees n1 as leaving

  Scenario: A VM that is no longer listed and silent has ended
    Given a running cluster of 2 near and 0 far nodes
    When node n1 is killed and leaves the VM list
    And 10 seconds pass
    Then n0 sees n1 as dead
    And n0 does not know that n1 has ended
    When 15 seconds pass
    Then n0 knows that the former n1 has ended

  Scenario: A VM that is no longer listed but answers is alive
    Given a running cluster of 2 near and 0 far nodes
    When the VM list drops n1 by mistake
    And 60 seconds pass
    Then n0 sees n1 as alive
    And n0 does not know that n1 has ended

  Scenario: The VM list is down
    Given a running cluster of 2 near and 0 far nodes
    When the VM list cannot be fetched
    And 60 seconds pass
    Then n0 sees n1 as alive

  Scenario: Regions exchange fewer heartbeats
    Given a running cluster of 2 near and 2 far nodes
    When 60 seconds pass
    Then the link carried fewer than 500 bytes of heartbeats a second
