Feature: Misbehaving connections are closed, and a stop interrupts no request

  Background:
    Given an entry node on loopback that waits 0.3 seconds for a body

  Scenario Outline: A body that <behaviour>
    When a caller sends a body that <behaviour>
    Then it is refused with <status> as <name>, not-run
    And the connection is closed
    And the router got 0 calls

    Examples: behaviours
      | behaviour              | status | name           |
      | stops half way         | 408    | body-timeout   |
      | never begins           | 408    | body-timeout   |
      | trickles byte by byte  | 408    | body-timeout   |
      | grows past the bound   | 413    | body-too-large |

  Scenario: A caller that goes on sending past its answer is not cut off
    When a caller sends body bytes until 0.3 seconds past the time limit
    Then it is refused with 408 as body-timeout, not-run
    And the connection is closed

  Scenario: A caller that hangs up within the body
    When a caller disconnects before the end of the body
    Then the router got 0 calls
    And another call is answered

  Scenario: A stop finishes the requests in flight
    When the node stops while a call is in flight
    Then the call in flight gets its complete response
    And a new connection is refused

  Scenario: A leaving node asks clients to leave
    When the node is leaving
    Then a response closes its connection

  Scenario: Too many requests at one time
    When 3 calls are sent at once to a node with a limit of 2
    Then 2 are answered and 1 is refused as overloaded
