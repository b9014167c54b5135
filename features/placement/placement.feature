Feature: Placement decides by the document

  Scenario Outline: The weights of the document decide what is placed first
    Given a fleet of 8 workers
    And the document weighs waiting <waiting> and nearness <nearness>
    And team "large" is entitled to 0.8 and uses 0.1
    And team "small" is entitled to 0.2 and uses 0.5
    And "large" has waited 1 s for 1 task of 100 s
    And "small" has waited 30 s for 1 task of 2 s
    When decisions are made
    Then the first decision is for "<first>"

    Examples:
      | waiting | nearness | first |
      | 8       | 0.5      | small |
      | 0.2     | 8        | large |

  Scenario: Urgent work goes first
    Given a fleet of 8 workers
    And team "large" is entitled to 0.8 and uses 0.1
    And team "small" is entitled to 0.2 and uses 0.9
    And "large" has waited 60 s for 5 tasks of 10 s
    And "small" has waited 1 s for 1 urgent task
    When decisions are made
    Then the first decision is for "small"

  Scenario Outline: A plug-in keeps a worker from a task
    Given a fleet of 2 workers
    And worker "w0" of the fleet <state>
    And team "large" is entitled to 1 and uses 0
    And "large" has waited 1 s for 4 tasks of 10 s
    When decisions are made
    Then no decision is for worker "w0"

    Examples:
      | state                       |
      | drains                      |
      | is in quarantine            |
      | has not reported            |
      | is avoided by the job       |
      | is in another zone          |
      | is earmarked for other work |

  Scenario: Cancelled classes are never placed
    Given a fleet of 8 workers
    And team "large" is entitled to 1 and uses 0
    And 5000 classes of one task wait
    When all but 3 of them are cancelled
    And decisions are made
    Then 3 decisions were made
    And no more than 24 candidates were examined

  Scenario: The number of examined workers does not grow with the fleet
    Then placing 200 tasks on 24 workers examines some candidates
    And placing 200 tasks on 2300 workers examines at most 1.5 times as many

  Scenario: Spread over zones
    Given a fleet of 9 workers
    And team "large" is entitled to 1 and uses 0
    And "large" has waited 1 s for 6 tasks spread over "zone"
    When decisions are made
    Then each zone has 2 of them

  Scenario Outline: A job that can never run
    Given a fleet of 3 workers
    Then a <kind> job of <tasks> tasks with <cpu> cores and <gib> GiB is <answer>

    Examples:
      | kind  | tasks | cpu | gib | answer                  |
      | batch | 500   | 2   | 4   | accepted                |
      | batch | 1     | 64  | 4   | refused for cpu_milli   |
      | batch | 1     | 2   | 400 | refused for memory_mib  |
      | gang  | 6     | 16  | 4   | accepted                |
      | gang  | 7     | 16  | 4   | refused for tasks       |

  Scenario: Why a class waits
    Given a fleet of 8 workers
    And worker "w0" of the fleet drains
    And worker "w1" of the fleet is in quarantine
    And worker "w2" of the fleet is full
    And team "large" is entitled to 1 and uses 0
    Then a task in zone "z9" is rejected by draining 1, quarantined 1, fits:cpu_milli 1, zone 5

  Scenario: Urgent work preempts the cheapest tasks of one worker
    Given a fleet of 2 workers
    And worker "w0" runs 4 preemptible tasks of 8 cores
    And worker "w1" runs 1 service of 32 cores
    Then an urgent task of 10 cores preempts the 2 youngest tasks of worker "w0"

  Scenario: A large task is not starved by small ones
    Given a fleet of 2 workers
    And worker "w0" is full until 100
    And worker "w1" is full until 50
    And team "large" is entitled to 1 and uses 0
    And "large" has waited 400 s for 1 task of 32 cores
    When decisions are made
    Then worker "w1" is earmarked until 50
    And a task of 40 s may use worker "w1" until then
    And a task of 60 s may not use worker "w1" until then

  Scenario: Two gangs do not keep workers from each other
    Given a fleet of 8 workers
    And gangs "old" and "young" of 4 tasks wait while all workers are full
    When decisions are made for 2 s
    Then only gang "old" has earmarked workers

  Scenario: An unknown plug-in is refused with the nearest name
    Then a document with the scorer "best-fitt" is refused and "best-fit" suggested
