Feature: Nodes exchange messages over gRPC on loopback

  Background:
    Given nodes a and b with streams between them

  Scenario: An answer comes back whole and to its own question
    When node a asks node b 200 questions at once
    Then each answer belongs to its question
    And fewer frames than questions were needed

  Scenario: A node asks itself
    When node a asks itself
    Then the answer comes without a stream

  Scenario Outline: A question that cannot be answered fails with a type
    When node a asks node b <question>
    Then the failure is <failure>

    Examples:
      | question                    | failure          |
      | what it refuses             | quota-exceeded   |
      | what it has no handler for  | invalid-input    |
      | what its handler breaks on  | internal         |
      | what has no encoding        | internal         |
      | what it never answers       | peer-unreachable |

  Scenario: An unknown node is unreachable, and nothing was sent
    When node a asks node z
    Then the failure says that nothing was sent

  Scenario: A late answer is dropped and counted
    When node a asks for an answer that comes after its timeout
    Then one late reply has been dropped at a

  Scenario: A peer restarts under the same address
    When node b restarts as a new incarnation
    Then node a reaches node b again within 5 seconds

  Scenario: A node that was replaced is not heard
    When node a starts again while its former self still runs
    Then the former self gets no answer from b

  Scenario: Another node answers under the address
    When the address of b leads to node a
    Then a question to b fails and no handler has run

  Scenario: A peer stops answering without closing the stream
    When node b freezes
    Then questions of a fail at their timeouts
    When node b can be reached at a new address
    Then node a reaches node b again within 5 seconds

  Scenario: A question is withdrawn before the stream is up
    When node b is down and a asks with a short timeout
    And node b comes up
    Then node b never sees the question

  Scenario: Spans of both sides belong to one trace
    When node a asks node b within a span
    Then the spans of both sides have its trace id
