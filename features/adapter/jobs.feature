Feature: Requests of callers about jobs

  Background:
    Given an entry node with queue "q" at "host.example" under "/q/" with key "k1"

  Scenario: A valid job is submitted to the coordinator
    When a caller sends POST "/q/5c0e7a21d94b36f8" with a valid job
    Then the response status is 200
    And the coordinator received a job of 2 steps for "acme"

  Scenario Outline: An invalid job is refused and not submitted
    When a caller sends POST "/q/5c0e7a21d94b36f8" with <job>
    Then the response status is <status>
    And the coordinator received no request

    Examples:
      | job                                      | status |
      | a body that is not JSON                  | 400    |
      | a body that is deeply nested             | 400    |
      | no steps                                 | 400    |
      | a step without tasks                     | 400    |
      | a step that depends on itself            | 400    |
      | a step that depends on a later one       | 400    |
      | a step that depends on a negative number | 400    |
      | a spec that is too long                  | 400    |
      | a body that is too large                 | 413    |

  Scenario Outline: A request with a wrong path, method or key is refused
    When a caller sends <method> "<path>" with key "<key>"
    Then the response status is <status>
    And the coordinator received no request

    Examples:
      | method | path                | key   | status |
      | GET    | /q/5c0e7a21d94b36f8 |       | 401    |
      | GET    | /q/5c0e7a21d94b36f8 | other | 401    |
      | GET    | /none/              | k1    | 404    |
      | GET    | /q/not-hexadecimal  | k1    | 400    |
      | PUT    | /q/5c0e7a21d94b36f8 | k1    | 405    |
      | POST   | /q/                 | k1    | 405    |

  Scenario: A job with an incomplete body is not submitted
    When a caller sends half a job and disconnects
    Then the coordinator received no request

  Scenario: Keys are refused once the store has not confirmed them for too long
    When 5 s pass without confirmation from the store
    And a caller sends GET "/q/5c0e7a21d94b36f8" with key "k1"
    Then the response status is 503 with a Retry-After header
    And the coordinator received no request

  Scenario Outline: CONFIG: a queue that may have been added is not refused as unknown
    When 5 s pass without confirmation from the store
    And a caller sends GET "<path>" with key "<key>"
    Then the response status is 503 with a Retry-After header
    And the coordinator received no request

    Examples:
      | path                | key   |
      | /none/              | k1    |
      | /q/5c0e7a21d94b36f8 | other |

  Scenario: CONFIG: an open queue that may have been removed is not served
    Given the queue is open to all
    When 5 s pass without confirmation from the store
    And a caller sends GET "/q/5c0e7a21d94b36f8" with key ""
    Then the response status is 503 with a Retry-After header
    And the coordinator received no request

  Scenario: A node without a configuration says that the job was not run
    Given an entry node without a configuration
    When a caller sends GET "/q/5c0e7a21d94b36f8" with key "k1"
    Then the response status is 503 with a Retry-After header
    And the response came after 1 s

  Scenario: A request to a new process waits for the first configuration
    Given an entry node without a configuration
    And a configuration that arrives 0.4 s after a request
    When a caller sends POST "/q/5c0e7a21d94b36f8" with a valid job
    Then the response status is 200
    And the response came after 0.4 s

  Scenario: A request does not wait for a configuration that is overdue
    Given an entry node without a configuration
    And a configuration that is overdue
    When a caller sends POST "/q/5c0e7a21d94b36f8" with a valid job
    Then the response status is 503 with a Retry-After header
    And the response came after 0 s

  Scenario: A caller whose job would end too late is told when to return
    Given the coordinator replies with too late
    When a caller sends POST "/q/5c0e7a21d94b36f8" with a job
    Then the response status is 503 with a Retry-After header
    And the caller is asked to return after 17 s

  Scenario Outline: The coordinator's reply determines the status
    Given the coordinator replies with <reply>
    When a caller sends <method> "/q/5c0e7a21d94b36f8" with key "k1"
    Then the response status is <status>

    Examples:
      | reply           | method | status |
      | succeeded       | GET    | 200    |
      | no such job     | GET    | 410    |
      | cancelled       | DELETE | 200    |
      | not run         | GET    | 503    |
      | outcome unknown | DELETE | 502    |

  Scenario: The state of a job has the platform's name for it
    Given the coordinator replies with succeeded
    When a caller sends GET "/q/5c0e7a21d94b36f8" with key "k1"
    Then the body has "state" "completed"

  Scenario: A node that leaves asks callers to reconnect
    Given the coordinator replies with succeeded
    And the node is leaving
    When a caller sends GET "/q/5c0e7a21d94b36f8" with key "k1"
    Then the response status is 200
    And the response closes the connection

  Scenario: Requests of any content are answered
    When callers ask for anything, with any headers and bodies
    Then each is answered, and what the coordinator gets is sound
