Feature: Interactive calls under failures

  A caller gets the complete response to its own request, or a failure that says
  correctly whether the request may have run.

  Scenario: A deadline that cannot be met is refused early
    Given a fleet of one rack
    And every slot is taken by a call of 3 s
    And the fleet has run for 4 s
    And every slot is taken by a call of 3 s
    When a call to order-status has a deadline of 2 s
    Then it is refused as overloaded within 0.1 s
    And no call that was refused as not run has run

  Scenario: A deadline that passes while the call waits
    Given a fleet of one rack
    And every slot is taken by a call of 6 s
    When a call to order-status has a deadline of 2 s
    Then it is refused as deadline-exceeded within 2.01 s
    And no call that was refused as not run has run

  Scenario: A deadline that is met while slots become free
    Given a fleet of one rack
    And every slot is taken by a call of 1 s
    When a call to order-status has a deadline of 2 s
    Then it is answered within 2 s

  Scenario Outline: A worker responds to a <queue> call with the response to another
    Given a fleet of one rack
    And the next response of a worker is that to another call
    When a call to <queue> has a deadline of 4 s
    Then it is <outcome>
    And the call ran <times> times
    And every guarantee held

    Examples:
      | queue        | outcome                    | times |
      | order-status | answered                   | 2     |
      | quote        | refused as outcome-unknown | 1     |

  Scenario Outline: A non-idempotent call repeated at another node, <when>
    Given a fleet of one rack
    And the fleet has run for 90 s
    When a call to quote is repeated at another node <when>
    Then one copy is answered and one is refused as outcome-unknown
    And the call ran 1 times
    And every guarantee held

    Examples:
      | when                    |
      | at the same moment      |
      | while it runs           |
      | after its response      |
      | after its home has died |

  Scenario: Retries are limited to a share of the calls while all workers fail
    Given a fleet of one rack
    And every worker refuses connections
    When 200 calls to order-status arrive at 20 a second
    Then no call is answered
    And the workers were tried at most 240 times

  Scenario: The slot of a call is freed after its entry node has died
    Given a fleet of one rack
    And every slot is taken by a call of 3 s
    When the entry node of the calls dies
    Then within 8 s every slot is free
    And a call to order-status is answered

  Scenario Outline: Goodput at <factor> times the fleet's capacity
    Given a fleet of one rack
    When calls of 0.5 s arrive at <factor> times the capacity for 20 s
    Then at least 90% of the peak is served in time
    And no call that was refused as not run has run
    And every guarantee held

    Examples:
      | factor |
      | 2      |
      | 5      |

  Scenario: Calls that outlive their deadlines keep their slots
    Given a fleet of one rack
    And every slot is taken by a call of 5 s with a deadline of 2 s
    When calls of 0.5 s arrive at 2 times the capacity for 3 s
    Then every guarantee held
