Feature: The programs as processes, with faults from outside them

  Scenario Outline: A short run keeps every promise
    When seed <seed> runs for 6 s with 3 nodes and 4 workers
    Then no promise was broken

    Examples: seeds
      | seed |
      | 1    |
      | 2    |

  Scenario: A short run with severe faults keeps every promise
    When seed 703 runs for 12 s with 3 nodes and 4 workers and severe faults
    Then no promise was broken

  Scenario: A short run in which workers kill late keeps every promise
    When seed 3 runs for 6 s with 3 nodes and 4 workers that kill late
    Then no promise was broken

  Scenario Outline: A worker kills what runs a while after its lease
    Given a worker that needs <kill> s to kill a run
    When a run of it holds a lease of 200 ms
    Then the run ends between <least> and <most> s later

    Examples:
      | kill | least | most |
      | 0    | 0.19  | 0.29 |
      | 0.3  | 0.49  | 0.59 |

  Scenario Outline: A node is cut off from a worker that another node reaches
    Given 2 nodes' ways to one worker
    When the way of the first node is silent <way>
    Then the worker gets calls of nodes "<reaching>"
    And answers come to nodes "<answered>"

    Examples: directions are seen from the node
      | way   | reaching | answered |
      | there | 1        | 1        |
      | back  | 0, 1     | 1        |

  Scenario Outline: An entry that has lapsed comes back with its worker only
    Given a fleet of worker "w1"
    When the entry of "w1" lapses
    And worker "w1" is <state>
    And the entry of "w1" is written
    Then the store shows the entries of "<shown>"

    Examples:
      | state | shown |
      | there | w1    |
      | gone  |       |

  Scenario Outline: An order that is carried out late meets the worker's life
    Given a worker that answers no order and carries it out 0.2 s late
    And late orders <may> reach its next life
    When it is ordered to start a task and is <course>
    Then <count> runs have begun

    Examples:
      | may     | course                    | count |
      | may     | left alone                | 1     |
      | may     | restarted at once         | 1     |
      | may not | restarted at once         | 0     |
      | may     | down until after that     | 0     |

  Scenario: A slow clock of a worker makes its lease long
    Given a worker whose clock runs at 0.5 of real time
    When it grants a lease of 200 ms
    Then the lease lapses between 0.39 and 0.45 s later

  Scenario Outline: Answers to appends of steps can be held back
    When an append of record "<key>" to "keyed.jobs" is answered while those of steps are held back
    Then the answer is <answer>

    Examples:
      | key     | answer                  |
      | j/1     | sent at once            |
      | s/1.0.0 | sent after their release |

  Scenario Outline: A broken promise is found
    Given job "a" of steps 1 and 1 that was accepted and is "completed"
    And its runs were <runs>
    Then the promises broken are "<broken>"

    Examples: runs as task, worker, begin, end and outcome
      | runs                                               | broken                       |
      | 0.0 w1 0 1 done, 1.0 w1 2 3 done                   |                              |
      | 0.0 w1 0 2 done, 0.0 w2 1 3 done, 1.0 w1 4 5 done  | twice at a time, again after success |
      | 0.0 w1 0 1 done, 0.0 w1 2 3 done, 1.0 w1 4 5 done  | again after success          |
      | 0.0 w1 0 2 done, 1.0 w1 1 3 done                   | out of order                 |
      | 0.0 w1 0 1 done                                    | completed with tasks undone  |
      | 0.0 w1 0 1 failed, 0.0 w1 1 2 failed, 0.0 w1 2 3 failed, 0.0 w1 3 4 done, 1.0 w1 5 6 done | beyond its attempts |

  Scenario Outline: A task that crashes its workers is given up, and no other
    Given job "a" of steps 1 and 1 that was accepted and is "failed"
    And task "0.0" crashes its workers
    And its runs were <runs>
    Then the promises broken are "<broken>"

    Examples:
      | runs | broken |
      | 0.0 w1 0 1 crashed, 0.0 w2 2 3 crashed, 0.0 w1 4 5 crashed | |
      | 0.0 w1 0 1 crashed, 0.0 w2 2 3 crashed, 0.0 w1 4 5 crashed, 0.0 w2 6 7 crashed, 0.0 w1 8 9 crashed, 0.0 w1 10 11 crashed | beyond its crashes |
      | 0.0 w1 0 1 crashed, 0.0 w2 2 3 stopped | failed without cause |
      | 0.0 w1 0 1 failed, 0.0 w2 2 3 failed   | failed without cause |
      | 0.0 w1 0 1 failed, 0.0 w2 2 3 failed, 0.0 w1 4 5 failed | |

  Scenario Outline: A gang is given up after as many failed runs as its attempts
    Given gang "a" of 2 tasks that was accepted and is "failed"
    And the runs of its members were <runs>
    Then the promises broken are "<broken>"

    Examples: runs as member, run, worker, begin, end and outcome
      | runs | broken |
      | 0 1 w1 0 1 failed, 1 1 w2 0 1 broken, 0 2 w1 2 3 broken, 1 2 w2 2 3 failed, 0 3 w1 4 5 failed, 1 3 w2 4 5 failed | |
      | 0 1 w1 0 1 failed, 1 1 w2 0 1 failed, 0 2 w1 2 3 failed, 1 2 w2 2 3 failed | failed without cause |
      | 0 1 w1 0 1 failed, 1 1 w2 0 1 failed, 0 2 w1 2 3 failed, 1 2 w2 2 3 failed, 0 3 w1 4 5 stopped, 1 3 w2 4 5 stopped | failed without cause |
      | 0 1 w1 0 1 crashed, 1 1 w2 0 1 broken, 0 2 w1 2 3 crashed, 1 2 w2 2 3 broken | |

  Scenario Outline: A gang that has used its attempts runs no more
    Given gang "a" of 2 tasks that was accepted and is "failed"
    And the runs of its members were 0 1 w1 0 1 failed, 1 1 w2 0 1 broken, 0 2 w1 2 3 broken, 1 2 w2 2 3 failed, 0 3 w1 4 5 failed, 1 3 w2 4 5 broken, 0 4 w1 6 7 broken, 1 4 w2 6 7 stopped
    And a lease of worker "w1" lapsed at <lapsed>
    And worker "w2" restarted at <restarted>
    Then the promises broken are "<broken>"

    Examples: An end that a restart or a lapse has lost need not be known
      | lapsed | restarted | broken                   |
      | 0.5    | 1.5       | gang beyond its attempts |
      | 0.5    | 2.5       | gang beyond its attempts |
      | 6.5    | 2.5       | gang beyond its attempts |
      | 0.5    | 3.5       |                          |
      | 1.5    | 2.5       |                          |
      | 5.5    | 2.5       |                          |

  Scenario Outline: A task that has used its attempts runs no more
    Given job "a" of steps 1 and 1 that was accepted and is "completed"
    And a lease of worker "w1" lapsed at <lapsed>
    And worker "w2" restarted at <restarted>
    And its runs were 0.0 w1 0 1 failed, 0.0 w2 2 3 failed, 0.0 w2 4 5 failed, 0.0 w2 6 7 done, 1.0 w2 8 9 done
    And the end of run 1 of "0.0" on "w1" was <noted>
    Then the promises broken are "<broken>"

    Examples: A failure that a restart or a lapse has lost need not be known
      | lapsed | restarted | noted            | broken              |
      | 0.5    | 1.5       | not acknowledged | beyond its attempts |
      | 1.5    | 1.5       | not acknowledged |                     |
      | 5.5    | 1.5       | not acknowledged |                     |
      | 6.5    | 1.5       | not acknowledged | beyond its attempts |
      | 1.5    | 1.5       | acknowledged     | beyond its attempts |
      | 0.5    | 3.5       | not acknowledged |                     |

  Scenario: A job that was refused must not run
    Given job "a" of steps 1 and 1 that was refused
    And its runs were 0.0 w1 0 1 done
    Then the promises broken are "refused and run"

  Scenario: A worker must not hold more than it has room for
    Given job "a" of steps 9 and 1 that was accepted and is "completed"
    And its 9 tasks ran on one worker at a time
    Then the promises broken are "beyond its room"

  Scenario Outline: A success on a worker whose lease has lapsed may be repeated
    Given job "a" of steps 1 and 1 that was accepted and is "completed"
    And a lease of worker "w1" lapsed at <lapsed>
    And its runs were 0.0 w1 0 1 done, 0.0 w2 2 3 done, 1.0 w1 4 5 done
    Then the promises broken are "<broken>"

    Examples:
      | lapsed | broken              |
      | 0.5    | again after success |
      | 1.5    |                     |
      | 2.5    | again after success |

  Scenario: A run that a worker's restart made it forget may be repeated
    Given job "a" of steps 1 and 1 that was accepted and is "completed"
    And worker "w1" restarted at 1.5
    And its runs were 0.0 w1 0 1 done, 0.0 w2 2 3 done, 1.0 w1 4 5 done
    Then the promises broken are ""

  Scenario Outline: A success that was acknowledged must not be repeated
    Given job "a" of steps 1 and 1 that was accepted and is "completed"
    And worker "w1" restarted at 1.5
    And a lease of worker "w1" lapsed at 1.6
    And its runs were 0.0 w1 0 1 done, 0.0 w2 2 3 done, 1.0 w1 4 5 done
    And the end of run 1 of "0.0" on "w1" was <noted>
    Then the promises broken are "<broken>"

    Examples:
      | noted            | broken              |
      | acknowledged     | again after success |
      | not acknowledged |                     |

  Scenario Outline: An end is taken note of unless the lease has lapsed before
    Given a worker whose clock runs at 1 of real time
    When a run of 0.1 s on it ends and its end is acknowledged after <after> s of a lease of 300 ms
    Then its end was <noted>

    Examples:
      | after | noted            |
      | 0.2   | acknowledged     |
      | 0.5   | not acknowledged |

  Scenario Outline: No run begins in a zone that has long been closed
    Given job "a" of steps 1 and 1 that was accepted and is "completed"
    And the zone of worker "w1" was closed at <closed> and opened at <opened>
    And its runs were 0.0 w1 10 11 done, 1.0 w1 12 13 done
    Then the promises broken are "<broken>"

    Examples:
      | closed | opened | broken           |
      | 9      | 99     |                  |
      | 4      | 99     | in a closed zone |
      | 4      | 9      |                  |

  Scenario Outline: Runs go to a service that the queue may have
    Given job "a" of steps 1 and 1 that was accepted and is "completed"
    And the queue was sent to service "annex" at <moved> and back at <back>
    And its runs were 0.0 w1 10 11 done, 1.0 w1 12 13 done
    Then the promises broken are "<broken>"

    Examples:
      | moved | back | broken |
      | 9     | 99   |        |
      | 4     | 99   | on a service that the queue has left |
      | 4     | 9    |        |
