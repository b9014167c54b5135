Feature: Availability zones that the operator closes and opens again

  While a zone is closed, nothing starts on its workers.

  Scenario Outline: EVAC: nothing starts in a closed zone
    Given a cell of 3 nodes and 1 worker
    And 1 worker in zone "east"
    When 2 s pass
    And zone "east" is closed
    And <kills> coordinators are killed 3 s apart
    And 1 s passes
    And a job "a" with steps of 12 tasks is submitted
    And 5 s pass
    Then job "a" is succeeded
    And no task of job "a" ran in zone "east"

    Examples:
      | kills |
      | 0     |
      | 1     |

  # Guards against a successor that only follows the records since.
  Scenario: EVAC: a successor knows a zone whose record is no longer in the log
    Given a cell of 3 nodes and 1 worker
    And 1 worker in zone "east"
    When 2 s pass
    And zone "east" is closed
    And 1 s passes
    And the store forgets what the operator wrote
    And 1 coordinators are killed 3 s apart
    And a job "a" with steps of 12 tasks is submitted
    And 5 s pass
    Then job "a" is succeeded
    And no task of job "a" ran in zone "east"

  Scenario: EVAC: a zone that is closed while there is no coordinator
    Given a cell of 3 nodes and 1 worker
    And 1 worker in zone "east"
    And tasks of job "a" take 0.1 s
    When 2 s pass
    And 1 coordinators are killed 0 s apart
    And zone "east" is closed
    And a job "a" with steps of 12 tasks is submitted
    And 6 s pass
    Then job "a" is succeeded
    And no task of job "a" ran in zone "east"

  Scenario: EVAC: a coordinator that is cut off from the store starts nothing
    Given a cell of 3 nodes and 1 worker
    And 1 worker in zone "east"
    When 2 s pass
    And the coordinator is cut off from the store
    And zone "east" is closed
    And a job "a" with steps of 12 tasks is submitted by another node
    And 9 s pass
    Then job "a" is succeeded
    And no run began in zone "east" over 5 s after it was closed

  Scenario: EVAC: an order that waited for the store stays out of a closed zone
    Given a cell of 1 nodes and 1 worker in zone "east"
    When 2 s pass
    And a job "a" is submitted and the next 2 appends are lost
    And zone "east" is closed
    And 1 worker joins in zone "west"
    And 9 s pass
    Then job "a" is succeeded
    And no task of job "a" ran in zone "east"

  # Guards against members that are started without the one in the closed zone.
  Scenario Outline: GANG: a gang with a member in a closed zone waits as a whole
    Given a cell of 1 nodes and 1 worker in zone "<first>"
    And 1 worker in zone "<second>"
    When 2 s pass
    And a job "a" with a gang of 12 tasks is submitted and the next 2 appends are lost
    And zone "east" is closed
    And 1 worker joins in zone "north"
    And 9 s pass
    Then job "a" is succeeded
    And no task of job "a" ran in zone "east"
    And 12 runs of job "a" began

    Examples:
      | first | second |
      | east  | west   |
      | west  | east   |

  Scenario: EVAC: nothing starts while it is not confirmed which zones are closed
    Given a cell of 1 nodes and 1 worker
    When 2 s pass
    And the coordinator's reads of the configuration get no reply
    And 3.4 s pass
    And a job "a" with steps of 1 tasks is submitted
    And 0.4 s pass
    Then no task of job "a" has run
    When the coordinator's reads of the configuration get replies again
    And 6 s pass
    Then job "a" is succeeded

  # Guards against a successor that places by the zones that it once knew.
  Scenario: EVAC: without a bound, a successor reads the zones before it starts
    Given a cell of 3 nodes without a bound for closed zones
    And 1 worker in zone "east"
    When 2 s pass
    And zone "east" is closed
    And 1 s passes
    And the store forgets what the operator wrote
    And the other nodes' reads of the configuration get no reply
    And 1 coordinators are killed 0 s apart
    And a job "a" with steps of 4 tasks is submitted
    And 1 worker joins in zone "west"
    And 3 s pass
    Then no task of job "a" has run
    When the coordinator's reads of the configuration get replies again
    And 6 s pass
    Then job "a" is succeeded
    And no task of job "a" ran in zone "east"
    And no order to a closed zone was given up

  Scenario: A zone that is closed and opened again while the log is unread
    Given a cell of 1 nodes and 1 worker in zone "east"
    When 2 s pass
    And zone "east" is closed
    And 1 s passes
    And the coordinator's reads of the configuration get no reply
    And 2 s pass
    And zone "east" is opened
    And the store forgets what the operator wrote
    And the coordinator's reads of the configuration get replies again
    And a job "a" with steps of 4 tasks is submitted
    And 5 s pass
    Then job "a" is succeeded

  Scenario: EVAC: a zone that is closed while the log is unread
    Given a cell of 1 nodes and 1 worker
    And 1 worker in zone "east"
    When 2 s pass
    And the coordinator's reads of the configuration get no reply
    And 2 s pass
    And zone "east" is closed
    And the store forgets what the operator wrote
    And the coordinator's reads of the configuration get replies again
    And 5 s pass
    And a job "a" with steps of 12 tasks is submitted
    And 5 s pass
    Then job "a" is succeeded
    And no task of job "a" ran in zone "east"

  Scenario: A store that is away holds up a change of the closed zones only meanwhile
    Given a cell of 3 nodes and 1 worker
    And 1 worker in zone "east"
    When 2 s pass
    And zone "east" is closed
    And the store is down
    And 6 s pass
    And the store is up
    And 3 s pass
    And a job "a" with steps of 12 tasks is submitted
    And 5 s pass
    Then job "a" is succeeded
    And no task of job "a" ran in zone "east"

  Scenario: A job waits while all zones are closed, and the log says why
    Given a cell of 3 nodes and 1 worker in zone "east"
    And 1 worker in zone "west"
    When 2 s pass
    And zone "east" is closed
    And zone "west" is closed
    And 1 s passes
    And a job "a" with steps of 4 tasks is submitted
    And 3 s pass
    Then no task of job "a" has run
    And the log says once that step "a.0.0" waits for a zone to open
    When zone "west" is opened
    And 4 s pass
    Then job "a" is succeeded
    And no task of job "a" ran in zone "east"

  Scenario: EVAC: a zone is closed at the moment when another one is opened
    Given a cell of 3 nodes and 1 worker in zone "east"
    And 1 worker in zone "west"
    When 2 s pass
    And zone "east" is closed
    And 1 s passes
    And zone "east" is opened
    And zone "west" is closed
    And 1 coordinators are killed 3 s apart
    And a job "a" with steps of 4 tasks is submitted
    And 3 s pass
    Then job "a" is succeeded
    And no task of job "a" ran in zone "west"

  Scenario: No permission is requested for the workers of a closed zone
    Given a cell of 3 nodes and 2 workers whose queue needs permissions
    And 1 worker in zone "east"
    When 2 s pass
    And zone "east" is closed
    And 1 s passes
    And a job "a" with steps of 12 tasks is submitted
    And 5 s pass
    Then job "a" is succeeded
    And no permission was requested for a worker in zone "east"

  Scenario: Long-running tasks leave a closed zone a few at a time
    Given a cell of 3 nodes and 1 worker in zone "east"
    And the tasks of job "a" last
    When 2 s pass
    And a job "a" is submitted whose 6 lasting tasks may miss 2 at a time
    And 1 s passes
    And 6 workers join in zone "west"
    And 2 s pass
    And zone "east" is closed
    Then for 8 s at most 2 tasks of job "a" are stopped at a time
    And all tasks of job "a" run in zone "west"
    And zone "east" is logged as empty

  Scenario: Long-running tasks leave all zones of a region
    Given a cell of 3 nodes and 1 worker in zone "east"
    And 1 worker in zone "near-east"
    And the tasks of job "a" last
    When 2 s pass
    And a job "a" is submitted whose 12 lasting tasks may miss 3 at a time
    And 1 s passes
    And 6 workers join in zone "west"
    And 2 s pass
    And zone "east" is closed
    And zone "near-east" is closed
    Then for 9 s at most 3 tasks of job "a" are stopped at a time
    And all tasks of job "a" run in zone "west"

  Scenario: A successor goes on moving long-running tasks
    Given a cell of 3 nodes and 1 worker in zone "east"
    And the tasks of job "a" last
    When 2 s pass
    And a job "a" is submitted whose 6 lasting tasks may miss 1 at a time
    And 1 s passes
    And 6 workers join in zone "west"
    And 2 s pass
    And zone "east" is closed
    And 1 coordinators are killed 0 s apart
    Then for 15 s at most 1 tasks of job "a" are stopped at a time
    And all tasks of job "a" run in zone "west"

  # Guards against a worker that is known by its runs before its entry is read.
  Scenario: A successor moves the tasks of a worker whose entry was missing
    Given a cell of 3 nodes and 1 worker in zone "east"
    And the tasks of job "a" last
    When 2 s pass
    And a job "a" is submitted whose 2 lasting tasks may miss 1 at a time
    And 1 s passes
    And the entry of worker "east-0" is withdrawn
    And 1 coordinators are killed 4 s apart
    And worker "east-0" writes its entry again
    And 1 worker joins in zone "west"
    And 2 s pass
    And zone "east" is closed
    And 1 s passes
    And a job "b" with steps of 12 tasks is submitted
    And 6 s pass
    Then all tasks of job "a" run in zone "west"
    And job "b" is succeeded
    And no order to a closed zone was given up
    And zone "east" is logged as empty

  Scenario: A zone that is opened while tasks move keeps the others
    Given a cell of 3 nodes and 1 worker in zone "east"
    And the tasks of job "a" last
    When 2 s pass
    And a job "a" is submitted whose 6 lasting tasks may miss 1 at a time
    And 1 s passes
    And 6 workers join in zone "west"
    And 2 s pass
    And zone "east" is closed
    And 0.5 s pass
    And zone "east" is opened
    And 5 s pass
    Then 6 tasks of job "a" run, of which some never moved

  Scenario: Long-running tasks stay in a closed zone if no other has room
    Given a cell of 3 nodes and 1 worker in zone "east"
    And the tasks of job "a" last
    When 2 s pass
    And a job "a" is submitted whose 6 lasting tasks may miss 2 at a time
    And 1 s passes
    And zone "east" is closed
    And 4 s pass
    Then no run of job "a" has ended
    And the metrics of the coordinator alone tell of 6 runs in zone "east"
    When zone "east" is opened
    And 1 s passes
    Then no metrics tell of zone "east"

  # Guards against runs whose tasks the quota does not admit again.
  Scenario: Runs above their organisation's quota end where they are
    Given a cell of 1 nodes and 2 worker in zone "east"
    When 2 s pass
    And a job "a" of checkpointing steps of 12 tasks is submitted
    And 1 s passes
    And 3 workers join in zone "west"
    And the quota of the organisation is lowered to 2 tasks
    And 2 s pass
    And zone "east" is closed
    And 8 s pass
    Then 12 tasks of job "a" run, 0 of them in zone "west"

  Scenario Outline: Runs that use their organisation's quota move within it
    Given a cell of 1 nodes and 2 worker in zone "east"
    When 2 s pass
    And a job "a" of <kind> steps of 12 tasks is submitted
    And 1 s passes
    And 3 workers join in zone "west"
    And the quota of the organisation is lowered to <quota> tasks
    And 2 s pass
    And zone "east" is closed
    And 8 s pass
    Then 12 tasks of job "a" run, <moved> of them in zone "west"

    Examples:
      | kind          | quota | moved |
      | lasting       | 11    | 0     |
      | lasting       | 12    | 12    |
      | checkpointing | 12    | 12    |

  Scenario Outline: Which runs leave a closed zone
    Given a <kind> run in a closed zone that has <left> s left
    And a worker in an open zone with room for <room> tasks
    When the runs to move are chosen
    Then the run is <moved>

    Examples: batch runs move only with their progress, and if it is worth it
      | kind           | left | room | moved     |
      | checkpointing  | 5    | 1    | moved     |
      | checkpointing  | 5    | 0    | not moved |
      | checkpointing  | 1    | 1    | not moved |
      | plain          | 5    | 1    | not moved |
      | gang           | 5    | 1    | not moved |
      | data-bound     | 5    | 1    | not moved |
      | long-running   | 5    | 1    | moved     |
      | contended      | 5    | 1    | not moved |
      | quota-waiting  | 5    | 1    | not moved |
      | stopping       | 5    | 1    | not moved |
      | unreachable    | 5    | 1    | not moved |

  Scenario: Room that is kept for a step is no room for a move
    Given a checkpointing run in a closed zone that has 5 s left
    And a worker in an open zone with room for 1 tasks
    And the room of that worker is kept for another step
    When the runs to move are chosen
    Then the run is not moved

  Scenario: No more runs move than other zones have room for
    Given 6 checkpointing runs in a closed zone that have 5 s left
    And 2 workers in an open zone with room for 1 task each
    When the runs to move are chosen
    Then 2 runs are moved

  Scenario: A few runs are stopped at a time
    Given 20 checkpointing runs in a closed zone that have 5 s left
    And 20 workers in an open zone with room for 1 task each
    When the runs to move are chosen
    Then 8 runs are moved

  Scenario: A review looks at few workers while no other zone has room
    Given 40 checkpointing runs of 40 sizes in a closed zone
    And 100 workers in an open zone with room for 0 task each
    When the runs to move are chosen
    Then 0 runs are moved
    And 800 workers were looked at

  # Guards against large runs without room that keep the others from their turn.
  Scenario: A small run leaves although many larger ones find no room
    Given 40 checkpointing runs of 40 sizes in a closed zone
    And 1 workers in an open zone with room for 1 task each
    When the runs to move are chosen 5 times
    Then 1 runs are moved
