Feature: Overlapping faults on a cell of coordinators in virtual time

  Nodes stand still, are cut off and are killed, workers restart with clocks that
  begin anew, calls are lost or late, and entries lapse.

  Scenario: Faults at random
    When the seeds 1 to 4 are run with faults at random
    Then no run violates a check
    And the runs had at least 8 changes of the coordinator
    And workers began at least 400 runs

  Scenario: Faults that follow each other on a worker and its coordinator
    When the seeds 1 to 8 of the sequence "mixed" are run
    Then no run violates a check

  Scenario: Workers that need a while to kill what runs when a lease expires
    When the seeds 1 to 8 of the sequence "mixed" are run with late kills
    Then no run violates a check

  # Guards against an order that leaves a coordinator after its authority.
  Scenario: TWICE: a coordinator that wakes starts nothing that runs elsewhere
    When the seed 53 of the sequence "mixed" is run
    Then no run violates a check

  # Guards against a lease of a worker's next life that outlasts the wait for it.
  Scenario: TWICE: a successor waits for the leases of a worker's next life
    When the seed 29 of the sequence "mixed" is run
    Then no run violates a check

  # Guards against an order on the clock of a worker's former life.
  Scenario: TWICE: a coordinator waits for a lease of a life that it does not know
    When the seed 2 of the sequence "unnoticed-restart" is run
    Then no run violates a check
