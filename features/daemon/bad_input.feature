Feature: Bad input from callers is refused with its exact cause

  Scenario Outline: A call with <key> key on the queue <queue>
    Given the running fleet
    When a call with <key> key comes to the queue <queue>
    Then it is refused with <status> as <name>, not-run

    Examples: keys and queues
      | key         | queue       | status | name            |
      | no          | proof       | 401    | unauthenticated |
      | a wrong     | proof       | 401    | unauthenticated |
      | a withdrawn | proof       | 401    | unauthenticated |
      | patterns    | proof       | 403    | forbidden       |
      | proofs      | prof        | 404    | unknown-name    |
      | proofs      | quote       | 403    | forbidden       |
      | a wrong     | order-status | 401   | unauthenticated |
      | patterns    | pattern-run | 400    | invalid-input   |

  Scenario: An open queue needs no key
    Given the running fleet
    When a call with no key comes to the queue order-status
    Then the answer is 200

  Scenario: The nearest queue is suggested
    Given the running fleet
    When a call with proofs key comes to the queue prof
    Then its field nearest is proof

  Scenario Outline: A call with the header <header> of <value>
    Given the running fleet
    When a call has the header <header> of <value>
    Then it is refused with <status> as <name>, not-run

    Examples: headers
      | header        | value         | status | name              |
      | X-Deadline-S  | -1            | 504    | deadline-exceeded |
      | X-Deadline    | 1000          | 504    | deadline-exceeded |
      | X-Deadline-S  | nan           | 400    | invalid-input     |
      | X-Deadline-S  | inf           | 400    | invalid-input     |
      | X-Deadline-S  | soon          | 400    | invalid-input     |
      | X-Deadline-S  | 11            | 400    | invalid-input     |
      | X-Idempotent  | maybe         | 400    | invalid-input     |
      | Authorization | Basic abc     | 401    | unauthenticated   |

  Scenario: The id of a non-idempotent call carries its time
    Given the running fleet
    When a call of quotes on quote has the request id order-17
    Then it is refused with 400 as invalid-input, not-run

  Scenario: A body over the queue's bound is refused unread
    Given the running fleet
    When a call has a body of 524289 bytes
    Then it is refused with 413 as body-too-large, not-run
    And its field limit is 524288

  Scenario Outline: A job is submitted as <body>
    Given the running fleet
    When the team patterns submits <body>
    Then it is refused with <status> as <name>, not-run

    Examples: bodies
      | body                                            | status | name              |
      | {"queue":                                       | 400    | invalid-input     |
      | []                                              | 400    | invalid-input     |
      | {}                                              | 400    | invalid-input     |
      | {"queue": "pattern-run", "cpus": 1}             | 400    | invalid-input     |
      | {"queue": "pattern-run", "tasks": "many"}       | 400    | invalid-input     |
      | {"queue": "pattern-run", "tasks": 0}            | 400    | invalid-input     |
      | {"queue": "pattern-run", "tasks": 10001}        | 400    | invalid-input     |
      | {"queue": "pattern-run", "kind": "gang"}        | 400    | invalid-input     |
      | {"queue": "pattern-run", "cpu": -1}             | 400    | invalid-input     |
      | {"queue": "pattern-run", "deadline": 1000}      | 504    | deadline-exceeded |
      | {"queue": "pattern-run", "deadline_s": 86401}   | 400    | invalid-input     |
      | {"queue": "pattern-run", "deadline": 1, "deadline_s": 1} | 400 | invalid-input |
      | {"queue": "proof"}                              | 403    | forbidden         |
      | {"queue": "order-status"}                       | 400    | invalid-input     |
      | {"queue": "pattern-rum"}                        | 404    | unknown-name      |
      | {"queue": "pattern-run", "cpu": 64}             | 422    | unplaceable       |
      | {"queue": "pattern-run", "memory_gib": 200}     | 422    | unplaceable       |
      | {"queue": "pattern-run", "accelerators": 1}     | 422    | unplaceable       |
      | {"queue": "pattern-proof", "tasks": 65}         | 422    | unplaceable       |
      | {"queue": "pattern-run", "constraints": {"zone": "moon"}} | 404 | unknown-name |

  Scenario Outline: <method> <path> with <key> key
    Given the running fleet
    When <key> key asks for <method> <path>
    Then it is refused with <status> as <name>, not-run

    Examples: paths
      | method | path                             | key          | status | name            |
      | GET    | /v1/nothing                      | no           | 404    | unknown-name    |
      | PUT    | /v1/jobs                         | the operator | 405    | invalid-input   |
      | GET    | /v1/jobs                         | no           | 401    | unauthenticated |
      | GET    | /v1/jobs/a.1.b                   | proofs       | 404    | unknown-name    |
      | GET    | /v1/jobs?cursor=x                | proofs       | 400    | invalid-input   |
      | GET    | /v1/jobs?limit=0                 | proofs       | 400    | invalid-input   |
      | GET    | /v1/jobs?state=gone              | proofs       | 400    | invalid-input   |
      | GET    | /v1/admin/status                 | no           | 401    | unauthenticated |
      | GET    | /v1/admin/status                 | proofs       | 401    | unauthenticated |
      | GET    | /v1/admin/config/staging         | the operator | 404    | unknown-name    |
      | DELETE | /v1/admin/keys/none              | the operator | 404    | unknown-name    |
