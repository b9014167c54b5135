Feature: What one caller's connection may send

  Scenario: Whatever a caller sends, nothing is left behind
    When callers send any pieces of requests in any slices
    Then no connection has failed, and none holds anything after its end

  Scenario: Requests inside the limits reach the application unchanged
    When callers send any requests inside the limits in any slices
    Then the application gets each of them, and nothing else

  Scenario Outline: A caller goes beyond a bound
    When a caller sends <what>
    Then it is answered <status> and the connection is closed
    And the application got <requests> requests

    Examples:
      | what                                       | status | requests |
      | a head of 16384 bytes                      | 200    | 1        |
      | 4000 header lines in 16384 bytes           | 200    | 1        |
      | a head of 17500 bytes                      | 431    | 0        |
      | a path of 40000 bytes                      | 431    | 0        |
      | a header line of 40000 bytes               | 431    | 0        |
      | 40000 bytes of empty lines                 | 400    | 0        |
      | 1000 bytes of empty lines and a request    | 200    | 1        |
      | a body with 90000 bytes of trailers        | 413    | 0        |
      | a body with a chunk extension of 90000     | 413    | 0        |
      | a body of 20000 chunks of one byte         | 200    | 1        |
      | what is no request                         | 400    | 0        |
      | a head of 2000 hosts                       | 400    | 0        |

  Scenario: A head without end is refused
    When a caller sends half a head of 40000 bytes
    Then it is answered 431 and the connection is closed

  Scenario: A cancellation whose body has no end is not said to be refused
    When a caller sends a cancellation with 90000 bytes of trailers
    Then the connection is closed without an answer
    And the application got 1 requests

  Scenario: Header lines that nobody reads are not kept
    When a caller sends a head of 2000 lines that nobody reads
    Then the application got no header but the host

  Scenario: A caller sends more requests than it reads answers of
    When a caller sends 1000 requests at once
    Then the application got at most 16 requests

  Scenario: The slowest request makes way if there is no memory
    Given a guard of 10 connections and 200000 bytes
    And 2 callers have sent 40000 bytes of a body
    When another caller sends a request with a body of 50000 bytes
    Then it reaches the application, and the first holder is ended

  Scenario: A request is refused if nobody can make way
    Given a guard of 10 connections and 200000 bytes
    And 2 requests of 30000 bytes wait for the answer
    When another caller sends a request with a body of 50000 bytes
    Then it is refused with 503 and Retry-After, and never handed over

  Scenario: The longest silent connection makes way for a new one
    Given a guard of 10 connections and 100000 bytes
    And 10 callers that say nothing
    When another caller sends a request with a body of 10 bytes
    Then it reaches the application, and the first holder is ended

  Scenario: A request that the application has is not ended for a new connection
    Given a guard of 4 connections and 900000 bytes
    And 4 requests of 100 bytes wait for the answer
    When another caller connects
    Then it is ended, and no other is

  Scenario: A head that does not come to its end is given up
    Given a guard of 10 connections and 100000 bytes
    And a caller that has sent half a head
    When 5 s pass
    Then the connection is closed after a 408

  Scenario Outline: A caller takes too long
    Given a guard of 10 connections and 100000 bytes
    And a caller that has sent <what>
    When <seconds> s pass
    Then the connection is <state>

    Examples:
      | what             | seconds | state                |
      | half a head      | 2       | open                 |
      | half a body      | 10      | open                 |
      | half a body      | 17      | closed after a 408   |
      | nothing          | 25      | open                 |
      | nothing          | 32      | closed               |
      | a whole request  | 70      | open                 |

  Scenario: A connection with too many requests makes way for a new one
    Given a guard of 3 connections and 900000 bytes
    And a caller that has sent 40 requests at once
    When 3 other callers connect
    Then the first is ended, and no other is

  Scenario: A served request is not ended for a slow head behind it
    Given a guard of 10 connections and 100000 bytes
    And a caller that has sent a whole request and half a head
    When 20 s pass and the answer is given
    Then the request is answered 200

  Scenario Outline: What follows a served request has its time after the answer
    Given a guard of 10 connections and 100000 bytes
    And a caller that has sent a whole request and <what>
    When 20 s pass and the answer is given
    And <seconds> s pass after it
    Then the connection is <state>

    Examples:
      | what        | seconds | state  |
      | half a head | 2       | open   |
      | half a head | 5       | closed |
      | half a body | 10      | open   |
      | half a body | 17      | closed |
