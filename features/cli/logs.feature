Feature: What the logs of the nodes tell

  Background:
    Given the log of a day
      """
       0.000 n1 {"at": 100.0, "node": "n1", "event": "coordinating", "epoch": 1, "jobs": 0, "load_s": 0.02}
       1.000 n1 {"at": 101.0, "node": "n1", "event": "job-accepted", "job": "a1", "queue": "q", "tenant": "acme", "tasks": 1, "objective_ms": 2000}
       1.200 n1 {"at": 101.2, "node": "n1", "event": "step-waits", "step": "a1.0.0", "blocked_by": "room", "left_ms": 900}
       1.400 n1 {"at": 101.4, "node": "n1", "event": "step-waits", "step": "a1.0.0", "blocked_by": "room", "left_ms": 700}
       1.500 n1 some other program's line
       1.600 n1 {"at": 101.6, "node": "n1", "event": "start", "task": "a1.0.0.0", "run": 1, "worker": "w1", "waited_ms": 600}
       2.000 n2 {"at": 102.0, "node": "n2", "event": "claim", "epoch": 2, "won": true, "silent_s": 0.3}
       2.050 n2 {"at": 102.05, "node": "n2", "event": "coordinating", "epoch": 2, "jobs": 1, "load_s": 0.05}
       2.100 n2 {"at": 102.1, "node": "n2", "event": "run-lost", "task": "a1.0.0.0", "run": 1, "worker": "w1", "reason": "lease-over"}
       2.200 n2 {"at": 102.2, "node": "n2", "event": "start", "task": "a1.0.0.0", "run": 2, "worker": "w2", "waited_ms": 1200}
       3.700 n2 {"at": 103.7, "node": "n2", "event": "run-ended", "task": "a1.0.0.0", "run": 2, "worker": "w2", "outcome": "succeeded"}
       3.710 n2 {"at": 103.71, "node": "n2", "event": "job-ended", "job": "a1", "status": "succeeded", "cause": "all tasks done", "took_ms": 2710}
       1.100 n3 {"at": 101.1, "node": "n3", "event": "refused", "method": "POST", "path": "/q/b2", "status": 503, "failure": "not-run", "reason": "no coordinator is known", "config": 4, "config_age_s": 0.7}
       1.300 n3 {"at": 101.3, "node": "n3", "event": "unanswered", "request": "c3", "kind": "SubmitJob", "attempts": 2, "waited_s": 1.5, "may_have_run": true, "reason": "n1: no reply"}
       1.350 n1 {"at": 101.35, "node": "n1", "event": "job-accepted", "job": "d4", "queue": "q", "tenant": "acme", "tasks": 1, "objective_ms": 2000}
       1.360 n1 {"at": 101.36, "node": "n1", "event": "worker-sick", "worker": "w1", "reason": "failed: x", "blame": 1.5, "for_s": 2.0}
       1.390 n1 {"at": 101.39, "node": "n1", "event": "job-accepted", "job": "e5", "queue": "q", "tenant": "acme", "tasks": 1, "objective_ms": 2000}
       1.400 n1 {"at": 101.4, "node": "n1", "event": "start", "task": "e5.0.0.0", "run": 1, "worker": "w1", "waited_ms": 10}
       1.500 n1 {"at": 101.5, "node": "n1", "event": "run-ended", "task": "e5.0.0.0", "run": 1, "worker": "w1", "outcome": "failed"}
       2.300 n2 {"at": 102.3, "node": "n2", "event": "run-ended", "task": "e5.0.0.0", "run": 1, "worker": "w1", "outcome": "failed"}
       2.400 n2 {"at": 102.4, "node": "n2", "event": "start", "task": "e5.0.0.0", "run": 2, "worker": "w2", "waited_ms": 1010}
       2.500 n2 {"at": 102.5, "node": "n2", "event": "run-ended", "task": "e5.0.0.0", "run": 2, "worker": "w2", "outcome": "failed"}
       2.510 n2 {"at": 102.51, "node": "n2", "event": "job-ended", "job": "e5", "status": "failed", "cause": "e5.0.0.0 failed", "took_ms": 1120}
       1.391 n1 {"at": 101.391, "node": "n1", "event": "job-accepted", "job": "f6", "queue": "q", "tenant": "acme", "tasks": 1, "objective_ms": 2000}
       1.501 n1 {"at": 101.501, "node": "n1", "event": "run-lost", "task": "f6.0.0.0", "run": 1, "worker": "w1", "reason": "gone"}
       2.301 n2 {"at": 102.301, "node": "n2", "event": "run-lost", "task": "f6.0.0.0", "run": 1, "worker": "w1", "reason": "gone"}
       2.511 n2 {"at": 102.511, "node": "n2", "event": "job-ended", "job": "f6", "status": "succeeded", "cause": "all tasks done", "took_ms": 1120}
       4.000 n1 {"at": 104.0, "node": "n1", "event": "job-acc
      """

  Scenario Outline: The cause of an outcome
    When the trail of "<id>" is read
    Then it exits with 0
    And the output has "<cause>"
    And the output has "2 others passed over"

    Examples:
      | id       | cause                                                                                                             |
      | a1       | The job is succeeded after 2.710 s, 0.710 s late; it waited mostly for: room; runs lost: 1 lease-over.           |
      | b2       | n3 refused it with 503: no coordinator is known.                                                                 |
      | c3       | No coordinator answered n3 within 1.5 s (it may have run): n1: no reply.                                         |
      | d4       | The job was accepted and no task was started; no line tells its end.                                             |
      | e5       | The job is failed after 1.120 s: e5.0.0.0 failed on w1, w2.                                                      |
      | f6       | The job is succeeded after 1.120 s; runs lost: 1 gone.                                                           |
      | a1.0.0.0 | The last of 4 lines is 'run-ended'.                                                                              |

  Scenario: The decisions on a job are in order, across coordinators
    When the trail of "a1" is read as JSON
    Then its events are "job-accepted, step-waits, start, coordinating, run-lost, start, run-ended, job-ended"
    And the event "step-waits" is repeated 2 times

  Scenario: An id that no line names
    When the trail of "nothing" is read
    Then it exits with 2
    And the error output starts with berylspread: [not-run] unknown-name: no line names 'nothing'

  Scenario: A log that cannot be read
    When the trail of "a1" is read from "/nonexistent"
    Then it exits with 2
    And the error output starts with berylspread: [not-run] invalid-input: cannot read the logs

  Scenario: The log is read from standard input
    When the trail of "b2" is read from standard input
    Then it exits with 0
    And the output has "n3 refused it with 503"

  Scenario: The page of a day and the changes of the coordinator
    When the report of the day is written as JSON
    Then it exits with 0
    And the page has the charts
      | chart                                     |
      | Jobs accepted by queue                    |
      | Jobs accepted by organisation             |
      | Jobs ended late by queue                  |
      | Runs started by organisation              |
      | Requests refused by failure               |
      | Wait from acceptance to start, ms         |
      | Coordinator and epoch                     |
      | Nodes and dependencies lost and regained  |
      | Unhealthy workers                         |
    And the page loads nothing from elsewhere
    And the takeovers are
      | epoch | node | claimed_s | loaded_s | first_start_s |
      | 1     | n1   |           |          |               |
      | 2     | n2   | 0.4       | 0.45     | 0.6           |

  Scenario: A report without a line of a node
    When the report of an empty log is written
    Then it exits with 2
    And the error output starts with berylspread: [not-run] invalid-input: the logs have no line of a node
