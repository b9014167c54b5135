Feature: Callers of the soak of processes

  Scenario Outline: A lasting job that was handed in without an answer is cancelled
    Given a node that answers a submission with "<submission>" and a cancel with <cancel>
    When a lasting job is handed in there
    Then the node has got <cancels> cancels

    Examples:
      | submission | cancel   | cancels |
      | nothing    | 200      | 1       |
      | nothing    | 503, 200 | 2       |
      | nothing    | 410      | 1       |
      | 503        | 200      | 0       |
