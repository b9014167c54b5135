Feature: Calls and syncs reach backend servers over HTTP

  Scenario Outline: A backend server's response to a call
    Given a backend server that <behaviour>
    When a call is sent to it
    Then the call's result is "<result>"

    Examples:
      | behaviour                          | result                         |
      | responds                           | status 200, complete body      |
      | responds with status 500           | status 500, complete body      |
      | responds in chunks                 | status 200, complete body      |
      | responds to another request        | answer-mismatch                |
      | responds to another attempt        | answer-mismatch                |
      | responds without an id             | answer-mismatch                |
      | responds without a length          | answer-mismatch                |
      | responds with a truncated body     | worker-unreachable, sent       |
      | closes without a response          | worker-unreachable, sent       |
      | does not respond                   | worker-unreachable, sent       |
      | does not speak HTTP                | worker-unreachable, sent       |
      | refuses an old epoch               | stale-epoch                    |
      | refuses with a malformed body      | worker-unreachable, sent       |
      | does not listen                    | worker-unreachable, not sent   |
      | has a malformed address            | worker-unreachable, not sent   |

  Scenario Outline: A backend server's response to a sync
    Given a backend server that <behaviour>
    When a sync is sent to it
    Then the sync's result is "<result>"

    Examples:
      | behaviour                          | result                         |
      | reports                            | report                         |
      | reports as another worker          | answer-mismatch                |
      | responds                           | answer-mismatch                |
      | refuses an old epoch               | stale-epoch                    |
      | closes without a response          | worker-unreachable, sent       |
      | does not listen                    | worker-unreachable, not sent   |

  Scenario: A node keeps to its share of a backend server's connections
    Given a backend server that responds after a delay
    When 40 calls are sent to it at once with a share of 5
    Then all 40 get a complete response
    And the server saw 5 connections at most at once

  Scenario: A call that gets no connection is reported as not sent
    Given a backend server that does not respond
    When 6 calls, the last with the shortest timeout, are sent with a share of 5
    Then 5 results are "worker-unreachable, sent"
    And 1 result is "worker-unreachable, not sent"

  Scenario: Successive calls reuse a connection
    Given a backend server that responds
    When 10 calls are sent to it one after another
    Then the server saw 1 connection in all

  Scenario: Names in a call may contain any text
    Given worker stand-ins over HTTP
    When a call with the id "id é ☃ % \n" and the team "a, b: c" is sent
    Then the worker ran it for that id and team, in that shape

  Scenario: The sample worker implements the protocol
    Given the sample worker over HTTP
    When it is sent a task of 0.3 s and one of 60 s, with a lease of 0.5 s
    And a call with the body "hello"
    Then it reports the first as succeeded and the second as cancelled
    And it drops both after they are acknowledged
    And its response was "hello"
