Feature: One node coordinates the cell

  The coordinator is the node with the newest epoch in the store.  No task runs
  twice, whatever faults the nodes have.

  Scenario: A job of two steps runs in order
    Given a cell of 3 nodes and 4 workers
    When 1 s passes
    And a job "a" with steps of 3 and 2 tasks is submitted
    And 5 s pass
    Then job "a" is succeeded
    And each task of job "a" ran once
    And no task of step 1 of job "a" began before step 0 had ended

  Scenario: Nodes that claim at the same moment do not both win
    Given a cell of 5 nodes and 1 worker
    When 1 s passes
    Then exactly 1 node has claimed the coordination
    And one node coordinates

  Scenario: A killed coordinator is replaced while its tasks keep running
    Given a cell of 3 nodes and 4 workers
    And tasks of job "a" take 6 s
    When 1 s passes
    And a job "a" with steps of 4 tasks is submitted
    And 1 s passes
    And the coordinator is killed
    And 2.5 s pass
    Then one node coordinates
    When 6 s pass
    Then job "a" is succeeded
    And each task of job "a" ran once

  Scenario: A coordinator replies about jobs only after it has loaded them
    Given a cell of 3 nodes and 4 workers
    And tasks of job "a" take 6 s
    When 1 s passes
    And a job "a" with steps of 4 tasks is submitted
    And 1 s passes
    And the store takes 0.3 s to reply
    And the coordinator is killed
    And job "a" is submitted and its status requested repeatedly for 4 s
    Then no reply said that job "a" does not exist
    When 6 s pass
    Then job "a" is succeeded
    And each task of job "a" ran once

  Scenario: A coordinator that stops hands over at once
    Given a cell of 3 nodes and 4 workers
    When 1 s passes
    And the coordinator leaves
    And 0.3 s pass
    Then one node coordinates

  Scenario: A coordinator that stops while the store is slow hands over
    Given a cell of 3 nodes and 4 workers
    When 1 s passes
    And calls to the store overtake each other by up to 0.4 s
    And the coordinator leaves
    And 3 s pass
    Then one node coordinates

  Scenario: A node that leaves still finds the coordinator
    Given a cell of 3 nodes and 2 workers
    When 1 s passes
    And the coordinator leaves
    And another node leaves
    And 0.5 s pass
    Then every node finds the coordinator

  Scenario: An isolated node refuses jobs at once
    Given a cell of 3 nodes and 2 workers
    When 1 s passes
    And a node that does not coordinate is cut off
    And 2 s pass
    Then that node refuses a job within 0.1 s as not run

  Scenario: A coordinator that cannot reach the store is replaced
    Given a cell of 3 nodes and 2 workers
    And tasks of job "a" take 8 s
    When 1 s passes
    And a job "a" with steps of 2 tasks is submitted
    And 1 s passes
    And the coordinator is cut from the store
    And 3 s pass
    Then exactly 2 nodes have claimed the coordination
    When 9 s pass
    Then job "a" is succeeded
    And each task of job "a" ran once

  Scenario: A node far from the store leaves the claim to a near one
    Given a cell of 2 nodes and 1 worker, and 1 far node
    When 1 s passes
    And the coordinator is killed
    And 2 s pass
    Then the coordinator is not far

  Scenario: A task is not given to another worker before its lease is over
    Given a cell of 2 nodes and 2 workers
    And tasks of job "a" take 3 s
    When 1 s passes
    And a job "a" with steps of 1 task is submitted
    And 0.5 s pass
    And the worker of job "a" is cut off
    And 2.5 s pass
    Then task 0 of job "a" has begun 1 time
    When 9 s pass
    Then job "a" is succeeded
    And no two runs of job "a" overlap

  Scenario: Runs on a worker without an entry survive a killed coordinator
    Given a cell of 3 nodes and 1 worker
    And tasks of job "a" take 4 s
    When 1 s passes
    And a job "a" with steps of 1 task is submitted
    And 0.5 s pass
    And the entry of the worker is gone
    And the coordinator is killed
    And 2.5 s pass
    Then one node coordinates
    When the entry of the worker is back
    And 4 s pass
    Then job "a" is succeeded
    And each task of job "a" ran once

  Scenario Outline: An order without a reply is settled before the next one
    Given a cell of 2 nodes and 2 workers
    When 1 s passes
    And the next order is carried out <late> s late without a reply
    And a job "a" with steps of 1 task is submitted
    And 14 s pass
    Then job "a" is succeeded
    And no two runs of job "a" overlap
    And no task of job "a" succeeded twice

    Examples:
      | late |
      | 0    |
      | 0.5  |
      | 1    |
      | 1.5  |
      | 3    |
      | 8    |

  Scenario: A slow store delays a job less than its objective allows
    Given a cell of 2 nodes and 2 workers
    When 1 s passes
    And the store takes 0.45 s to reply
    And a job "a" with steps of 3 and 2 tasks is submitted
    Then callers see within 3.5 s that job "a" has succeeded

  Scenario: Appends that overtake each other are stored in order
    Given a cell of 3 nodes and 2 workers
    And tasks of job "b" take 6 s
    When 1 s passes
    And calls to the store overtake each other by up to 0.4 s
    And jobs "a" and "b" of 8 tasks are submitted 0.1 s apart
    And 5 s pass
    Then job "a" is succeeded
    When the coordinator is killed
    And 8 s pass
    Then job "b" is succeeded
    And each task of job "a" ran once
    And each task of job "b" ran once

  Scenario: A new coordinator's first change is not skipped
    Given a cell of 3 nodes and 2 workers
    And tasks of job "a" take 3 s
    And tasks of job "b" take 3.1 s
    When 1 s passes
    And a job "a" with steps of 1 task is submitted
    And a job "b" with steps of 1 task is submitted
    And 1 s passes
    And the coordinator is killed
    And 1.9 s pass
    And the coordinator's next change never reaches the store
    And 1.5 s pass
    Then job "a" is succeeded
    When the coordinator is killed
    And 5 s pass
    Then job "a" is succeeded
    And each task of job "a" ran once

  Scenario: A lost reply of the store changes nothing
    Given a cell of 2 nodes and 2 workers
    When 1 s passes
    And the coordinator loses the next 3 replies of the store
    And a job "a" with steps of 2 tasks is submitted
    And 9 s pass
    Then job "a" is succeeded
    And each task of job "a" ran once
    And exactly 1 node has claimed the coordination

  Scenario: A lost report of an outcome is soon requested again
    Given a cell of 2 nodes and 1 worker
    When 1 s passes
    And the next report of an outcome is lost
    And a job "a" with steps of 1 task is submitted
    Then callers see within 1.9 s that job "a" has succeeded

  Scenario: An outcome is acknowledged only once it is stored
    Given a cell of 2 nodes and 1 worker
    When 1 s passes
    And a job "a" with steps of 1 task is submitted
    And 0.5 s pass
    And the store is down
    And 3 s pass
    Then the worker still lists the outcome of job "a"
    When the coordinator is killed
    And the store is up
    And 6 s pass
    Then job "a" is succeeded
    And each task of job "a" ran once

  Scenario: A request that runs out of time does not hold up another
    Given a cell of 2 nodes and 1 worker
    When 1 s passes
    And the store is down
    And a job "a" is submitted and times out after 0.5 s
    And the store is up
    And 5 s pass
    Then job "a" is succeeded
    And each task of job "a" ran once

  Scenario: A job accepted by a node whose clock is ahead starts at once
    Given a cell of 2 nodes and 1 worker
    When 1 s passes
    And a job "a" accepted 300 s ahead of the clock is submitted
    And 2 s pass
    Then job "a" is succeeded

  Scenario: A restarted worker's tasks run again
    Given a cell of 2 nodes and 1 worker
    And tasks of job "a" take 3 s
    When 1 s passes
    And a job "a" with steps of 2 tasks is submitted
    And 1 s passes
    And the worker of job "a" is restarted
    And 6 s pass
    Then job "a" is succeeded
    And no two runs of job "a" overlap

  Scenario: An order in transit to a worker that restarts is settled first
    Given a cell of 2 nodes and 2 workers
    When 1 s passes
    And the next order is carried out 1.2 s late without a reply
    And a job "a" with steps of 1 task is submitted
    And 0.1 s pass
    And orders get replies again
    And all workers are restarted
    And 12 s pass
    Then job "a" is succeeded
    And no two runs of job "a" overlap

  Scenario Outline: An order that a restarted worker has confirmed is not forgotten
    Given a cell of 2 nodes and 2 workers
    And tasks of job "a" take <work> s
    When 1 s passes
    And orders to workers take 0.3 s in transit
    And a job "a" with steps of 1 task is submitted
    And 0.1 s pass
    And all workers are restarted
    And 12 s pass
    Then job "a" is succeeded
    And each task of job "a" ran once

    Examples: It ends before and after the worker is reached again
      | work |
      | 1    |
      | 4    |

  Scenario: A job whose task fails every attempt is shown as failed
    Given a cell of 2 nodes and 3 workers
    And task 1 of job "a" fails
    When 1 s passes
    And a job "a" with steps of 3 tasks is submitted
    And 6 s pass
    Then job "a" is failed
    And task 1 of job "a" has begun 2 times

  Scenario: A cancelled job's tasks are stopped and begin no more
    Given a cell of 2 nodes and 2 workers
    And tasks of job "a" take 30 s
    When 1 s passes
    And a job "a" with steps of 20 tasks is submitted
    And 1 s passes
    And job "a" is cancelled
    And 1 s passes
    Then job "a" is cancelled
    And no worker runs a task

  # Guards against decisions on runs of a job that keeps no tasks any more.
  Scenario: The runs of a cancelled job end without a fault of the program
    Given a cell of 2 nodes and 2 workers
    And tasks of job "a" take 30 s
    When 1 s passes
    And a job "a" with steps of 20 tasks is submitted
    And 1 s passes
    And job "a" is cancelled
    And 1 s passes
    Then no node has logged a fault of the program

  Scenario: Another organisation may neither see nor cancel a job
    Given a cell of 2 nodes and 2 workers
    When 1 s passes
    And a job "a" with steps of 1 task is submitted
    Then organisation "hot" is forbidden to see or cancel job "a"
    When 2 s pass
    Then job "a" is succeeded
    And organisation "hot" is forbidden to see or cancel job "a"

  Scenario: Runs of a cancelled job still use room on their worker
    Given a cell of 3 nodes and 1 worker
    And tasks of job "a" take 30 s
    When 1 s passes
    And a job "a" with steps of 8 tasks is submitted
    And 1 s passes
    And a job "b" with steps of 8 tasks is submitted
    And the coordinator is cut from the workers
    And job "a" is cancelled
    And the coordinator is killed
    And 6 s pass
    Then job "b" is succeeded
    And no worker ever ran more than 8 tasks

  Scenario: Urgent work does not wait for batch work that saves its progress
    Given a cell of 2 nodes and 2 workers
    And tasks of job "batch" take 30 s
    When 1 s passes
    And a batch job "batch" of 16 tasks that save their progress is submitted
    And 2 s pass
    And a job "a" with steps of 3 tasks is submitted
    And 2 s pass
    Then job "a" is succeeded
    And at most 3 runs of job "batch" were stopped

  Scenario: Urgent work does not wait for its own organisation's batch work
    Given a cell of 2 nodes and 3 workers
    And tasks of job "batch" take 30 s
    When 1 s passes
    And a batch job "batch" of the capped team with 2 tasks is submitted
    And 2 s pass
    And a job "a" of the capped team with 1 tasks is submitted
    And 2.5 s pass
    Then job "a" is succeeded
    And at most 1 runs of job "batch" were stopped
    And at most 2 tasks of job "batch" ran at a time

  Scenario Outline: Batch work gives way only to tasks that their limit per worker allows
    Given a cell of 2 nodes and 1 workers
    And tasks of job "batch" take 6 s
    And tasks of job "a" take 60 s
    When 1 s passes
    And a batch job "batch" of the capped team with 1 tasks is submitted
    And 1 s passes
    And a job "a" of the capped team with 2 tasks, at most <limit> on a worker, is submitted
    And 5 s pass
    Then at most <stopped> runs of job "batch" were stopped
    And <running> tasks of job "a" are running

    Examples:
      | limit | stopped | running |
      | 1     | 0       | 1       |
      | 2     | 1       | 2       |

  Scenario: Urgent work waits for batch work that saves nothing
    Given a cell of 2 nodes and 1 worker
    And tasks of job "batch" take 3 s
    When 1 s passes
    And a batch job "batch" of 8 tasks that save nothing is submitted
    And 1 s passes
    And a job "a" with steps of 3 tasks is submitted
    And 1 s passes
    Then job "a" is queued
    And at most 0 runs of job "batch" were stopped

  Scenario: Long-running tasks leave a draining worker before it leaves
    Given a cell of 2 nodes and 1 worker
    And tasks of job "a" take 300 s
    When 1 s passes
    And a job "a" with a long-running step of 2 tasks is submitted
    And 1 s passes
    And another worker joins
    And the worker of job "a" drains
    And 1.5 s pass
    Then all tasks of job "a" run on the other worker
    And no two runs of job "a" overlap

  Scenario: A job is refused at once while the store is down
    Given a cell of 2 nodes and 1 worker
    When 1 s passes
    And the store is down
    And a job "a" is submitted and times out after 2 s
    And a job "b" is refused within 0.2 s as not run
    And the store is up
    And 3 s pass
    Then job "a" is succeeded
    And job "b" does not exist

  Scenario: A report requested at the moment of a reply proves nothing
    Given a cell of 2 nodes and 1 worker
    When 1 s passes
    And a job "a" with steps of 1 task is submitted
    And 0.2 s pass
    And a report requested at the moment of the reply to the start omits the run
    Then the run of task 0 of job "a" is kept

  Scenario: A long-running task is started again whatever its outcome
    Given a cell of 2 nodes and 1 worker
    When 1 s passes
    And a job "a" with a long-running step of 2 tasks is submitted
    And 5 s pass
    Then job "a" is running
    And task 0 of job "a" has begun at least 3 times
    And no two runs of job "a" overlap

  Scenario: A team has no more running than its cap
    Given a cell of 2 nodes and 3 workers
    When 1 s passes
    And a job "a" of the capped team with 6 tasks is submitted
    And 8 s pass
    Then job "a" is succeeded
    And at most 2 tasks of job "a" ran at a time

  Scenario: The end of one member of a gang is that of all
    Given a cell of 2 nodes and 3 workers
    When 1 s passes
    And a job "a" with a gang of 3 tasks for different workers is submitted
    And 0.7 s pass
    And a worker of the gang is cut off until its run has ended and it restarts
    And 4 s pass
    Then job "a" is succeeded
    And each task of job "a" ran once

  Scenario: All tasks of a gang begin together or none does
    Given a cell of 2 nodes and 1 worker
    And tasks of job "a" take 3 s
    When 1 s passes
    And a job "a" with steps of 5 tasks is submitted
    And 0.5 s pass
    And a job "b" with a gang of 6 tasks is submitted
    And 1 s passes
    Then job "b" is queued
    When 6 s pass
    Then job "b" is succeeded
    And the tasks of job "b" began within 0.5 s with one run number

  Scenario: A job that was only placed counts as waiting
    Given a cell of 2 nodes and 1 worker
    And the worker refuses orders as unhealthy
    When 1 s passes
    And a job "a" with steps of 1 task is submitted
    And 1 s passes
    Then 1 job waits
    When the coordinator is killed
    And 4 s pass
    Then 1 job waits

  Scenario: A node that does not reply delays a step only a little
    Given a cell of 3 nodes and 2 workers whose queue needs permissions
    When 1 s passes
    And a job "a" with steps of 1 and 1 tasks is submitted
    And a job "b" with steps of 1 and 1 tasks is submitted
    And a job "c" with steps of 1 and 1 tasks is submitted
    And 0.5 s pass
    And every node but the coordinator is cut off
    And 3 s pass
    Then step 1 of job "a" began within 0.7 s of the end of step 0
    And step 1 of job "b" began within 0.7 s of the end of step 0
    And step 1 of job "c" began within 0.7 s of the end of step 0

  Scenario: Permissions are requested and tickets renewed
    Given a cell of 2 nodes and 3 workers whose queue needs permissions
    And no run is permitted on worker "w0"
    When 1 s passes
    And a job "a" with steps of 24 and 3 tasks is submitted
    And 8 s pass
    Then job "a" is succeeded
    And no task of job "a" ran on worker "w0"

  Scenario: A worker whose capacity has shrunk gets no more than it holds
    Given a cell of 1 nodes and 1 worker
    When 2 s pass
    And the worker's capacity shrinks to 2 tasks
    And 1 s passes
    And a job "a" with steps of 6 tasks is submitted
    And 12 s pass
    Then job "a" is succeeded
    And at most 2 tasks of job "a" ran at a time

  Scenario: An entry that cannot be read does not stop the reading of others
    Given a cell of 3 nodes and 1 worker
    When 2 s pass
    And an entry that cannot be decoded is published
    And 1 s passes
    And another worker joins
    And a job "a" with steps of 12 tasks is submitted
    And 6 s pass
    Then job "a" is succeeded
    And the tasks of job "a" ran on 2 workers
    When the coordinator is killed
    And a job "b" with steps of 2 tasks is submitted
    And 6 s pass
    Then job "b" is succeeded
