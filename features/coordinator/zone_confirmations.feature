Feature: Orders leave only while it is confirmed which zones are closed

  # Guards against orders that wait while the confirmation ends.
  Scenario Outline: EVAC: an order that waited is not sent without a confirmation of the zones
    Given a cell of 0 node and 1 worker with listed calls
    And nodes that start later trust the zones as with a bound of 5000 ms
    And a node with listed calls joins
    When 3 s pass
    And replies to orders to start are 0.7 s late
    And the coordinator's reads of the configuration get no reply
    And 1 s passes
    And zone "z" is closed
    And <pause> s pass
    And a job "b" of 300 small endless tasks is submitted
    And 6 s pass
    Then no run began in zone "z" over 5 s after it was closed

    Examples:
      | pause |
      | 2.2   |
      | 2.5   |
