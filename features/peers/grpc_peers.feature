Feature: Nodes exchange messages over gRPC on loopback

  Background:
    Given nodes a and b with streams between them

  Scenario: Each of many concurrent requests gets its own reply
    When node a sends node b 200 requests at once
    Then each reply belongs to its request
    And fewer frames than requests were sent

  Scenario: A node sends a request to itself
    When node a sends a request to itself
    Then the reply comes without a stream

  Scenario Outline: A request that fails returns a typed failure
    When node a sends node b a request <kind>
    Then the failure is <failure>

    Examples:
      | kind                          | failure          |
      | that its handler refuses      | quota-exceeded   |
      | without a handler             | invalid-input    |
      | whose handler raises          | internal         |
      | whose reply cannot be encoded | internal         |
      | that never gets a reply       | peer-unreachable |

  Scenario: An unknown node is unreachable, and nothing was sent
    When node a sends a request to node z
    Then the failure says that nothing was sent

  Scenario: A peer that does not listen has received nothing
    When node b is down and a sends a request with a short timeout
    Then the failure says that nothing was sent

  Scenario: A peer that accepts no stream has received nothing
    When node b hangs
    And node a sends node b a request with a short timeout
    Then the failure says that nothing was sent

  Scenario: A late reply is dropped and counted
    When node a sends a request whose reply comes after the timeout
    Then node a has dropped one late reply

  Scenario: A peer restarts under the same address
    When node b restarts as a new incarnation
    Then node a reaches node b again within 5 seconds

  # Guards against nodes that refuse a process whose VM's clock was set back.
  Scenario: A peer restarts with an earlier clock
    When node b restarts with its clock set back
    Then node a reaches node b again within 5 seconds
    And node b reaches node a

  Scenario: Messages of a replaced incarnation are dropped
    When node a restarts while its former incarnation still runs
    Then the former incarnation gets no reply from b

  Scenario: Another node listens at the address
    When the address of b is that of node a
    Then a request to b fails and no handler has run

  Scenario: A peer stops replying without closing the stream
    When node b hangs
    Then requests of a fail at their timeouts
    When node b can be reached at a new address
    Then node a reaches node b again within 5 seconds

  Scenario: A request is withdrawn before the stream is open
    When node b is down and a sends a request with a short timeout
    And node b comes up
    Then node b never receives the request

  Scenario: The spans of both nodes belong to one trace
    When node a sends node b a request within a span
    Then the spans of both nodes have its trace id
