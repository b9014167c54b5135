Feature: Interactive calls under failures

  A caller gets the whole answer to its own request, or a failure that says
  truthfully whether the request may have run.

  Scenario: A deadline that cannot be met is refused early
    Given a fleet of one rack
    And every slot is taken by a call of 3 s
    And the fleet has run for 4 s
    And every slot is taken by a call of 3 s
    When a call to order-status has 2 s
    Then it is refused as overloaded within 0.1 s
    And every refusal that says not run is true

  Scenario: A deadline that passes while the call waits
    Given a fleet of one rack
    And every slot is taken by a call of 6 s
    When a call to order-status has 2 s
    Then it is refused as deadline-exceeded within 2.01 s
    And every refusal that says not run is true

  Scenario: A deadline that is met while slots become free
    Given a fleet of one rack
    And every slot is taken by a call of 1 s
    When a call to order-status has 2 s
    Then it is answered within 2 s

  Scenario Outline: A worker responds to a <queue> call with the response to another
    Given a fleet of one rack
    And the next answer of a worker is that of another call
    When a call to <queue> has 4 s
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
    When a quote is repeated at another node <when>
    Then one copy is answered and one is refused as outcome-unknown
    And the call ran 1 times
    And every guarantee held

    Examples:
      | when                     |
      | at the same moment       |
      | while it runs            |
      | after its answer         |
      | after its home has died  |

  Scenario: Retries are limited to a share of the calls while all workers fail
    Given a fleet of one rack
    And every worker refuses connections
    When 200 calls to order-status come at 20 a second
    Then none is answered
    And the workers were tried at most 240 times

  Scenario: The slot of a call is freed after its entry node has died
    Given a fleet of one rack
    And every slot is taken by a call of 3 s
    When the entry node of the calls dies
    Then within 8 s every slot is free
    And a call to order-status is answered

  Scenario Outline: Goodput at <factor> times the fleet's capacity
    Given a fleet of one rack
    When calls of 0.5 s come at <factor> times the capacity for 20 s
    Then at least 90% of the peak is served in time
    And every refusal that says not run is true
    And every guarantee held

    Examples:
      | factor |
      | 2      |
      | 5      |

  Scenario: Calls that outlive their deadlines keep their slots
    Given a fleet of one rack
    And every slot is taken by a call of 5 s that has 2 s
    When calls of 0.5 s come at 2 times the capacity for 3 s
    Then every guarantee held
