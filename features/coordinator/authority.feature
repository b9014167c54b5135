Feature: A coordinator acts only while its authority lasts

  # Guards against orders that are decided on and sent much later.
  Scenario: TWICE: an order does not leave a coordinator that has stood still
    Given a cell of 3 nodes and 4 workers
    When 2 s pass
    And the coordinator is to pause as its next order leaves
    And a job "a" with a long-running task is submitted
    And the worker on which job "a" is placed is reached by that node alone
    And 12 s pass
    Then job "a" has begun 1 time
    When the paused node is resumed
    And 2 s pass
    Then no two runs of job "a" overlap
    And job "a" has begun 1 time

  # Guards against leases that a slow clock makes longer than others assume.
  Scenario Outline: TWICE: no time that is sent to a worker is ahead of its clock
    Given a worker whose clock runs at <rate> of the usual rate
    When it has reported <age> s ago
    Then the time that its coordinator assumes is not ahead of its clock

    Examples:
      | rate | age |
      | 1.0  | 0.1 |
      | 1.0  | 2.3 |
      | 0.98 | 0.1 |
      | 0.98 | 2.3 |
      | 0.98 | 8.0 |
