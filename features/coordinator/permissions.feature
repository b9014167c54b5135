Feature: Permission requests

  Scenario: Long requests leave one node of three free for short ones
    Given nodes "a", "b" and "c" that send requests
    When 2 requests of 0.8 s are sent
    Then a request of 0.04 s is answered within 0.05 s

  Scenario: A request waits while every node has many pending requests
    Given nodes "a", "b" and "c" that send requests
    When 3 requests of 0.15 s are sent
    Then a request of 0.04 s has to wait

  Scenario: A node whose replies take longer is the second choice
    Given nodes "a", "b" and "c" that send requests
    And replies through "a" take 0.1 s longer
    When 1 requests of 0.04 s are sent
    Then the chosen node is not "a"

  Scenario: A silent node gets no requests
    Given nodes "a", "b" and "c" that send requests
    And "a" was last heard of 1.2 s ago
    And "b" was last heard of 0.6 s ago
    When 1 requests of 0.04 s are sent
    Then the chosen node is not "a"

  Scenario: No request is sent while every node is silent
    Given nodes "a", "b" and "c" that send requests
    And "a" was last heard of 1.2 s ago
    And "b" was last heard of 1.2 s ago
    And "c" was last heard of 1.2 s ago
    Then no node is chosen

  Scenario Outline: The workers that a step's requests name
    Given a step of <tasks> tasks with tickets for "w1" until 5 s and "w2" until 3 s
    And workers "w1", "w2" and "w3" of which "<unknown>" are new
    When the step sends requests at <moment> s
    Then the requests name "<named>"

    Examples:
      | tasks | unknown | moment | named    |
      | 20    | w3      | 2      | w3       |
      | 20    |         | 2      |          |
      | 4     | w3      | 2      |          |
      | 4     |         | 4      |          |
      | 8     |         | 4      | w2       |
      | 8     |         | 6      | w1 w2    |
      | 20    | w3      | 6      | w1 w2 w3 |

  Scenario: A step names as many workers as its tasks are likely to need
    Given a step of 21 tasks whose requests take 390 ms and 5.5 ms a worker
    And 176 workers of which each has room for 8 tasks
    When the step sends requests at 0 s
    Then it sends 1 request about 35 workers

  Scenario: A step sends more requests through other nodes if one is not enough
    Given a step of 21 tasks whose requests take 390 ms and 5.5 ms a worker
    And 176 workers of which each has room for 1 task
    When the step sends requests at 0 s
    Then it sends 2 requests about 70 workers

  Scenario: Steps that send requests in a burst name different workers
    Given a step of 21 tasks whose requests take 390 ms and 5.5 ms a worker
    And 100 workers of which each has room for 2 tasks
    When 2 such steps send requests through nodes "a", "b" and "c"
    Then no worker is named twice
    And nothing is promised once they have replies

  Scenario Outline: The service is scarce while nearly all nodes for long requests are busy
    Given nodes "a", "b" and "c" that send requests
    When <count> requests of 0.8 s are sent
    Then the permission service is <state>

    Examples:
      | count | state      |
      | 1     | not scarce |
      | 2     | scarce     |

  Scenario: While the service is scarce, a step sends one large request
    Given a step of 21 tasks whose requests take 390 ms and 5.5 ms a worker
    And 176 workers of which each has room for 1 task
    When the step sends requests at 0 s while the service is scarce
    Then it sends 1 request about 100 workers

  Scenario: The workers with the most room are named first
    Given a step of 21 tasks whose requests take 390 ms and 5.5 ms a worker
    And 176 workers of which each has room for 1 task
    And worker "w100" has room for 8 tasks
    When the step sends requests at 0 s
    Then "w100" is in the first request

  Scenario: Tickets of workers that cannot be reached are not relied on
    Given a step of 1 tasks with tickets for "w1" until 5 s and "w2" until 5 s
    And workers "w1", "w2" and "w3" of which "w3" are new
    And workers "w1" and "w2" cannot be reached
    When the step sends requests at 2 s
    Then the requests name "w3"

  Scenario Outline: A step that is next renews its tickets before they expire
    Given a step of 1 tasks whose requests take 430 ms and 6 ms a worker
    And it has a ticket for "w1" until 5 s and all workers without room
    When the step, which is <place> in its queue, sends requests at <moment> s
    Then the requests name "<named>"

    Examples: A request through another node takes up to 0.7 s
      | place | moment | named |
      | first | 3.9    |       |
      | first | 4.2    | w1    |
      | later | 4.2    |       |

  Scenario: Workers without room are named in one request at a time
    Given a step of 21 tasks whose requests take 390 ms and 5.5 ms a worker
    And 176 workers of which each has room for 0 tasks
    When the step sends requests at 0 s
    Then it sends 1 request about 35 workers

  Scenario: No worker is examined while every node is busy
    Given a step of 21 tasks whose requests take 390 ms and 5.5 ms a worker
    And 176 workers of which each has room for 1 task
    And every node is busy
    When the step is examined 100 times at once
    Then no worker was examined

  Scenario: A step that found no worker to name does not search again at once
    Given a step of 21 tasks whose requests take 390 ms and 5.5 ms a worker
    And 176 workers of which each has room for 0 tasks
    And all workers were named in earlier requests
    When the step is examined 100 times at once
    Then the workers were examined once

  Scenario: A gang that needs one rack names whole racks
    Given a gang of 21 tasks for one rack whose requests take 390 ms and 5.5 ms a worker
    And 176 workers in racks of 8 of which each has room for 8 tasks
    When the step sends requests at 0 s
    Then the first request names 4 racks completely

  Scenario: A worker that is no longer permitted loses its ticket
    Given a step of 20 tasks with tickets for "w1" until 5 s and "w2" until 3 s
    And workers "w1", "w2" and "w3" of which "" are new
    When the step sends requests at 6 s and only "w1" is still permitted
    Then "w2" has no ticket

  Scenario Outline: The share of permitted workers is learned from replies
    Given a queue that permits <good> of 30 workers in <times> replies
    Then the expected share of permitted workers is between <least> and <most>

    Examples:
      | good | times | least | most |
      | 10   | 0     | 0.5   | 0.5  |
      | 10   | 20    | 0.33  | 0.34 |
      | 30   | 20    | 0.98  | 1.0  |

  Scenario Outline: A step sends requests before the step before it has ended
    Given a job of two steps whose requests take 390 ms and 5.5 ms a worker
    And the tasks of its first step are <stage> and take 4 s
    When <passed> s of them have passed
    Then the second step sends requests <when>

    Examples:
      | stage   | passed | when    |
      | running | 1      | later   |
      | running | 3      | later   |
      | running | 3.3    | at once |
      | running | 4.5    | at once |
      | ordered | 3.3    | later   |
      | waiting | 3.3    | later   |

  Scenario: Workers that return under other names are named in requests
    Given a step of 20 tasks with tickets for "w1" until 5 s and "w2" until 3 s
    And workers "w1", "w2" and "w3" of which "" are new
    When the workers are replaced by "w4", "w5" and "w6"
    And the step sends requests at 2 s
    Then the requests name "w4 w5 w6"

  Scenario: Workers that may run no more tasks of a step count as no place
    Given a step of 3 tasks, at most 1 on a worker, of which 2 run on "w1" and "w2"
    And it has tickets for "w1" and "w2" until 5 s and "w3" until 3 s
    And workers "w1", "w2" and "w3" of which "" are new
    When the step sends requests at 4 s
    Then the requests name "w3"

  Scenario: A failed long-running task starts again while its step's other workers have tickets
    Given a cell of 9 nodes and 8 workers whose permissions take 720 ms and 6.5 ms a worker
    And worker "w7" has room for 3 tasks only
    When a long-running job "watch" is submitted with 8 tasks as large as 3 others, at most 1 on a worker
    And an older job waits for which no worker has room
    And the task of job "watch" on "w0" fails
    And 0.1 s pass
    And the task of job "watch" on "w7" fails
    Then that task starts again within 3 s

  Scenario: A failed long-running task gets its place back from batch work
    Given a cell of 9 nodes and 3 workers whose permissions take 720 ms and 6.5 ms a worker
    And tasks of job "batch" take 30 s
    When a long-running job "watch" is submitted with a task as large as 3 others
    And a batch job "batch" of "acme" with 30 tasks waits for room
    And a later job waits for which no worker has room
    And the worker of job "watch" shrinks to room for 5 tasks
    And the task of job "watch" fails
    Then that task starts again within 3 s

  Scenario: A failed long-running task gets its place back while an older job waits
    Given a cell of 9 nodes and 3 workers whose permissions take 720 ms and 6.5 ms a worker
    And tasks of job "batch" take 30 s
    When a long-running job "watch" is submitted with a task as large as 3 others
    And a batch job "batch" of "acme" with 30 tasks waits for room
    And an older job waits for which no worker has room
    And the worker of job "watch" shrinks to room for 5 tasks
    And the task of job "watch" fails
    Then that task starts again within 3 s
