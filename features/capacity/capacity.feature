Feature: Counted costs stay within the budgets of the design fleet
  Bytes, messages, appends and candidates are counted; no time is measured.

  Scenario Outline: Lease renewal at one backend server
    When a worker with <tasks> tasks renews its leases
    Then the worker exchanges at most <budget> bytes a second

    Examples:
      | tasks | budget |
      | 0     | 200    |
      | 12    | 1500   |
      | 60    | 8000   |

  Scenario Outline: A decision examines few workers
    When 200 tasks are placed on <workers> workers
    Then at most 16 candidates are examined for each task

    Examples:
      | workers |
      | 100     |
      | 800     |
      | 2300    |

  Scenario: One append carries the document of all teams
    When a document of 340 teams is written
    Then its record fits into one append

  Scenario Outline: Records of jobs are small
    When <count> records of <kind> are encoded
    Then each record takes at most <budget> bytes

    Examples:
      | kind     | count | budget |
      | job      | 64    | 700    |
      | task end | 64    | 20     |
      | claim    | 64    | 110    |

  Scenario: A snapshot of waiting jobs is small
    When a snapshot of 1000 queued jobs is taken
    Then each job takes at most 32 bytes of the snapshot

  Scenario Outline: Starts share messages and appends
    Given an assembly of 9 nodes and 48 workers
    When <rate> tasks a second are started for 10 seconds
    Then at most <messages> messages between nodes are sent for each start
    And the log takes at most 40 appends a second

    Examples:
      | rate | messages |
      | 40   | 1.5      |
      | 120  | 0.6      |

  Scenario: Each start takes one placement decision
    Given an assembly of 9 nodes and 48 workers
    When 60 tasks a second are started for 10 seconds
    Then at most 16 candidates are examined for each start

  Scenario: Idle nodes exchange few messages
    Given an assembly of 9 nodes and 48 workers
    When nothing is started for 10 seconds
    Then each pair of nodes exchanges at most 2 messages a second
    And nothing is appended to the log

  Scenario Outline: The estimate grows with each quantity of the fleet
    When the fleet has twice as many <quantity>
    Then the estimate's <figure> grows by a factor from <lower> to <upper>

    Examples:
      | quantity     | figure                | lower | upper |
      | workers      | cores                 | 1.0   | 2.0   |
      | tasks        | memory_bytes_per_node | 1.0   | 2.0   |
      | starts_per_s | cores                 | 1.0   | 2.0   |
      | teams        | cores                 | 1.0   | 2.0   |

  Scenario: Heartbeats grow with the square of the nodes
    When the fleet has twice as many nodes
    Then the estimate's peers grow by a factor from 4.0 to 4.3

  Scenario: The command gives the library's estimate
    When an operator runs the capacity command for the design fleet
    Then it prints the library's estimate of the same fleet
    And each of the needed nodes stays within the usable share of a core

  Scenario Outline: The command refuses invalid numbers
    When an operator runs the capacity command with <argument>
    Then it ends with exit code 2

    Examples:
      | argument      |
      | --workers=-1  |
      | --tasks=many  |
      | --nodes=0     |
