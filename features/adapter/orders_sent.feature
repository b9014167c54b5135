Feature: Orders that were certainly not sent

  # A run whose order was not sent is placed anew at once.
  Scenario Outline: TWICE: an order counts as not sent only without a connection
    Given a worker on loopback that <does>
    When two orders are sent to it one after the other
    Then the second order <counts>
    And the worker has read <orders> orders

    Examples:
      | does                                    | counts                 | orders |
      | does not listen                         | was certainly not sent | 0      |
      | closes each connection                  | may have been sent     | 0      |
      | reads an order and closes               | may have been sent     | 2      |
      | answers one order and closes at another | may have been sent     | 2      |
      | reads an order and does not answer      | may have been sent     | 2      |
