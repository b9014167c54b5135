Feature: The interface describes itself, its health and its traces

  Scenario: The OpenAPI page is served
    Given the running fleet
    When no key asks for GET /schema
    Then the answer is 200
    When no key asks for GET /schema/openapi.json
    Then the answer describes the path /v1/queues/{queue}/call
    And the answer describes the path /v1/jobs/{job_id}/why

  Scenario Outline: <path> needs no key
    Given the running fleet
    When no key asks for GET <path>
    Then the answer is 200

    Examples: paths
      | path     |
      | /healthz |
      | /readyz  |
      | /metrics |

  Scenario: A leaving node is healthy and not ready
    Given a fleet of its own
    When the node starts to leave
    And no key asks for GET /readyz
    Then the answer is 503
    When no key asks for GET /healthz
    Then the answer is 200

  Scenario: The backend server's answer comes back as it is
    Given the running fleet
    When a call with proofs key comes to the queue proof
    Then the answer is 200
    And the answer has the caller's body and the header X-Run-State of ran

  Scenario: A trace goes from the caller to the backend server
    Given the running fleet
    When a call comes within the caller's trace
    Then the entry node and the backend server share that trace
    And the backend server receives the span of its call

  Scenario: A log line is JSON and names the trace
    When a line is logged within a span
    Then the line is JSON with the span's trace
