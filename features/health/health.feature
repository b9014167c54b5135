Feature: Workers that fail everything get no work

  Scenario: A worker that fails everything quickly is quarantined
    Given 40 workers that serve 4 job classes
    When worker "w0" fails 5 tasks of different classes
    Then worker "w0" is in quarantine
    And no other worker is in quarantine

  Scenario: A failing worker is suspected before it is quarantined
    Given 40 workers that serve 4 job classes
    When worker "w0" fails 2 tasks of different classes
    Then worker "w0" has a higher fault probability than the others

  Scenario: A job class that fails everywhere quarantines no worker
    Given 40 workers that serve 4 job classes
    When a class "broken" fails once on each of 20 workers
    Then no worker is in quarantine
    And class "broken" is faulty
    And class "c0" is not faulty

  Scenario: A broken class does not hide a failing worker
    Given 40 workers that serve 4 job classes
    When a class "broken" fails once on each of 20 workers
    And worker "w0" fails 6 tasks of different classes
    Then worker "w0" is in quarantine
    And no other worker is in quarantine

  Scenario: A limit on quarantines leaves most workers in use
    Given 40 workers that serve 4 job classes
    When 20 workers fail 8 tasks of different classes each
    Then 4 workers are in quarantine

  Scenario: Probes end a quarantine, and failed probes lengthen it
    Given 40 workers that serve 4 job classes
    When worker "w0" fails 5 tasks of different classes
    And 10 s pass
    Then worker "w0" may be probed
    When a probe of worker "w0" fails
    And 19 s pass
    Then worker "w0" may not be probed
    When 1 s pass
    Then worker "w0" may be probed
    When a probe of worker "w0" succeeds
    And a probe of worker "w0" succeeds
    Then no worker is in quarantine

  # Guards against taking the outcome of another task for that of a probe
  Scenario Outline: Only the outcomes of probes count in a quarantine
    Given 40 workers that serve 4 job classes
    When worker "w0" fails 5 tasks of different classes
    And 10 s pass
    And 2 tasks of worker "w0" from before the quarantine <end> during a probe
    And the running probe of worker "w0" <outcome>
    And a probe of worker "w0" succeeds
    Then <result>

    Examples:
      | end     | outcome  | result                       |
      | fail    | succeeds | no worker is in quarantine   |
      | succeed | fails    | worker "w0" is in quarantine |

  Scenario: Only a probe may use a quarantined worker
    Given 40 workers that serve 4 job classes
    When worker "w0" fails 5 tasks of different classes
    Then a booking at worker "w0" is refused
    And a probe can be booked at worker "w0"

  Scenario: Old failures decay and no longer count
    Given 40 workers that serve 4 job classes
    When worker "w0" fails 2 tasks of different classes
    And 7200 s pass
    And worker "w0" fails 1 tasks of different classes
    Then no worker is in quarantine

  Scenario Outline: The drain of a backend server
    Given a worker with 10 batch tasks and 2 services
    When these events happen: <events>
    Then its state is <state>
    And it <reaction> new work

    Examples:
      | events                                | state    | reaction |
      | none                                  | serving  | takes    |
      | drain-asked                           | draining | refuses  |
      | drain-asked, drain-cancelled          | serving  | takes    |
      | listed-leaving                        | leaving  | refuses  |
      | drain-asked, listed-leaving           | leaving  | refuses  |
      | listed-leaving, drain-cancelled       | leaving  | refuses  |
      | drain-asked, emptied                  | drained  | refuses  |
      | emptied                               | serving  | takes    |

  Scenario: A drain stops batch tasks first, a few at one time, and each once
    Given a worker with 10 batch tasks and 2 services
    When these events happen: drain-asked
    Then 8 tasks are asked to checkpoint
    And 0 tasks are asked to stop
    When the stopped tasks have ended
    Then 2 tasks are asked to checkpoint and 2 to stop
    When the stopped tasks have ended
    Then no task is left and its state is drained
