Feature: Orders that wait for a connection to a worker

  # A worker takes few connections from one node.
  Scenario: UNASKED: a stop does not wait for a connection behind orders to start
    Given a worker on loopback that answers orders to start 0.4 s late
    When 32 orders to start and then one to stop are sent to it
    Then the worker has read the stop within 0.3 s

  # Guards against orders that time out before they have a connection.
  Scenario: LOST: no order to start times out while it waits for a connection
    Given a worker on loopback that answers orders to start 0.4 s late
    When 32 orders to start and then one to stop are sent to it
    Then all orders to start have been answered
