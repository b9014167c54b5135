Feature: Workers of different speeds

  Scenario Outline: The factors of the kinds are learned from steps that have ended
    Given 12 workers of kind "a" on which a task takes <a> times as long
    And 6 workers of kind "b" on which a task takes <b> times as long
    When 30 steps of 10 tasks end, some of which take 7 times as long as others
    Then the factors of the kinds are about <learned>

    Examples:
      | a   | b    | learned     |
      | 0.7 | 1.7  | a:0.68 b:1.64 |
      | 1.7 | 0.7  | a:1.24 b:0.51 |
      | 0.8 | 1.25 | a:0.84 b:1.32 |

  Scenario Outline: Kinds that are alike, or unknown, have no factor
    Given 12 workers of kind "a" on which a task takes 1 times as long
    And 6 workers of kind "b" on which a task takes <b> times as long
    When <steps> steps of 10 tasks end, some of which take 7 times as long as others
    Then every worker counts as typical

    Examples:
      | b    | steps |
      | 1    | 30    |
      | 1.04 | 30    |
      | 2    | 1     |

  Scenario: How long the steps take says nothing about the workers
    Then the factors are the same however long each step takes

  Scenario: The factors of the workers have a mean of 1
    Then the factors of any fleet have a mean of 1

  Scenario: The first tasks of a step to end say nothing
    Given 12 workers of kind "a" on which a task takes 0.7 times as long
    And 6 workers of kind "b" on which a task takes 1.7 times as long
    When 30 steps of 10 tasks go on after 9 tasks have ended
    Then every worker counts as typical

  Scenario: A worker that is slow for a while has a factor of its own
    Given 12 workers of kind "a" on which a task takes 1 times as long
    And worker "a3" is 4 times slower than its kind
    When 60 steps of 10 tasks end, some of which take 7 times as long as others
    Then worker "a3" is slower than its kind
    And all other workers count as typical
    When 21 s pass without a task on worker "a3"
    Then every worker counts as typical

  Scenario: A new life of a worker starts from its kind
    Given 12 workers of kind "a" on which a task takes 0.7 times as long
    And 6 workers of kind "b" on which a task takes 1.7 times as long
    And worker "a3" is 4 times slower than its kind
    When 60 steps of 10 tasks end, some of which take 7 times as long as others
    And worker "a3" begins another life
    Then worker "a3" counts as one of its kind

  Scenario: Tasks on a worker that is marked as unhealthy are not compared
    Given 12 workers of kind "a" on which a task takes 1 times as long
    And worker "a3" is 4 times slower than its kind
    And worker "a3" is marked as unhealthy
    When 60 steps of 10 tasks end, some of which take 7 times as long as others
    Then every worker counts as typical

  Scenario: A run that was stopped tells the speed by its progress
    Given a run of an image whose tasks take 4 s
    When reports give its progress as "0.5:10 1:25"
    Then its task is projected to take 4 s
    When reports give its progress as "2:40"
    Then its task is projected to take 5 s

  Scenario Outline: Which workers a step prefers
    Given a fast worker "f", a slow worker "s" and one "x" that is slow for its kind
    When a task of a step that <needs> is placed
    Then it is placed on "<chosen>"

    Examples:
      | needs                    | chosen |
      | is urgent                | f      |
      | has time for any worker  | s      |
      | has no time to lose      | f      |
      | is late on any worker    | s      |
      | is long late             | s      |
      | lasts                    | s      |

  Scenario: No step waits for a fast worker
    Given a fast worker "f" without room and a slow worker "s"
    When a task of a step that is urgent is placed
    Then it is placed on "s"

  Scenario Outline: Load alone decides for work with time while there is room
    Given a fast worker "f" with room for <fast> and a slow one "s" with room for <slow>
    When a task of a step with time is placed while fast workers have room
    Then it is placed on "<chosen>"

    Examples:
      | fast | slow | chosen |
      | 2    | 4    | s      |
      | 4    | 2    | f      |

  Scenario: Load is spread over the workers of one speed
    Given two fast workers with room for 2 and 6 tasks and a slow worker
    When 6 tasks of a step that is urgent are placed
    Then the fast workers get 1 and 5 of them and the slow worker none

  Scenario: Where all speeds are alike, load alone decides
    Then tasks are placed alike whatever speed all workers share

  Scenario: A gang is placed on workers of one speed
    Given a fast worker "f" with room for 2 and a slow one "s" with room for 4
    When a gang of 3 tasks that is urgent is placed
    Then all of it is placed on "s"

  Scenario: A gang that no speed has room for is spread over all workers
    Given a fast worker "f" with room for 2 and a slow one "s" with room for 4
    When a gang of 6 tasks that is urgent is placed
    Then all 6 tasks are placed

  Scenario: A run on a slow kind of worker is not slow
    Given a run of an image whose tasks take 1 s
    When reports give its progress as "0.5:10 0.8:18 1.2:27"
    Then it is slow or stalled
    Given a run of an image whose tasks take 1 s
    And its worker takes 2.4 times as long as a typical one
    When reports give its progress as "0.5:10 0.8:18 1.2:27"
    Then it is not slow or stalled

  Scenario: A run is compared with the ended tasks of its step
    Given a step of 10 tasks without an image on 2 workers
    When 5 of its tasks have ended in 0.4 s each on a worker with factor 0.7
    And a run of it on a worker with factor 1.7 has done 10 percent in 0.9 s
    Then the run is stopped

  Scenario: A task that is slow on a second worker is long by itself
    Given a step of 10 tasks without an image on 2 workers
    When 5 of its tasks have ended in 0.4 s each on a worker with factor 0.7
    And a run of it on a worker with factor 1.7 has done 10 percent in 0.9 s
    Then the run is stopped
    When its next run has done 10 percent in 0.9 s
    Then the run continues

  Scenario: A task that was slow is slow again on a worker that others show as sick
    Given a step of 10 tasks without an image on 2 workers
    When 5 of its tasks have ended in 0.4 s each on a worker with factor 0.7
    And a run of it on a worker with factor 1.7 has done 10 percent in 0.9 s
    Then the run is stopped
    When its next run, on an unhealthy worker, has done 10 percent in 0.9 s
    Then the run is stopped

  Scenario: A task that stalled is not long by itself
    Given a step of 10 tasks without an image on 2 workers
    When 5 of its tasks have ended in 0.4 s each on a worker with factor 0.7
    And a run of it on a worker with factor 1.7 has done 0 percent in 0.9 s
    Then the run is stopped
    When its next run has done 10 percent in 0.9 s
    Then the run is stopped

  Scenario: Without kinds of different speeds the tasks of a step are not compared
    Given a step of 10 tasks without an image on 2 workers
    And all kinds of workers are equally fast
    When 5 of its tasks have ended in 0.4 s each on a worker with factor 1
    And a run of it on a worker with factor 1 has done 10 percent in 0.9 s
    Then the run continues

  Scenario: The factors expire if all kinds are silent
    Given 12 workers of kind "a" on which a task takes 0.7 times as long
    And 6 workers of kind "b" on which a task takes 1.7 times as long
    When 30 steps of 10 tasks end, some of which take 7 times as long as others
    Then the factors of the kinds are about a:0.68 b:1.64
    When 301 s pass without a task
    Then every worker counts as typical

  Scenario Outline: A run that is not slow for the tasks of its step
    Given a step of 10 tasks without an image on 2 workers
    When <ended> of its tasks have ended in 0.4 s each on a worker with factor 0.7
    And a run of it on a worker with factor 1.7 has done <percent> percent in 0.9 s
    Then the run continues

    Examples:
      | ended | percent |
      | 4     | 10      |
      | 5     | 40      |

  Scenario Outline: A run moves if it ends sooner on the worker that has room
    Given a stalled run whose step requires the label "gpu"
    And another worker with room has the label "gpu"
    And that other worker takes <factor> times as long as a typical one
    When the health of the worker is reviewed as the run, of an image whose tasks take 1 s, has done 30 percent in 2 s
    Then the run <moves>

    Examples: The rest takes 4.7 s where it is
      | factor | moves      |
      | 0.7    | is stopped |
      | 6      | continues  |

  Scenario: Requests of an urgent step name fast workers first
    Given a step of 4 tasks whose requests take 18 ms and 0.26 ms a worker
    And 60 workers with room for 1 task, of which each third is fast
    And the first of the fast workers has no room
    When the step sends requests at 0 s
    Then its first request names the fast workers first, but for that one

  Scenario: Urgent tasks go to the fast workers of a cell once they are known
    Given a cell of 2 nodes and 6 workers
    And workers "w3", "w4" and "w5" are of a kind on which tasks take 2.5 times as long
    When 1 s passes
    And 12 jobs of 6 urgent tasks that take 0.4 s are submitted 1.2 s apart
    And 1 s passes
    And a job "late" with 12 urgent tasks that take 0.4 s is submitted
    And 2 s pass
    Then job "late" is succeeded
    And all tasks of job "late" ran on "w0", "w1" and "w2"
    And the factors of the two kinds were logged by 1 node

  Scenario: A successor learns the speeds anew
    Given a cell of 3 nodes and 6 workers
    And workers "w3", "w4" and "w5" are of a kind on which tasks take 2.5 times as long
    When 1 s passes
    And 12 jobs of 6 urgent tasks that take 0.4 s are submitted 1.2 s apart
    And the coordinator is killed
    And 3 s pass
    And 12 jobs of 6 urgent tasks that take 0.4 s are submitted 1.2 s apart
    And 1 s passes
    And a job "late" with 12 urgent tasks that take 0.4 s is submitted
    And 2 s pass
    Then job "late" is succeeded
    And all tasks of job "late" ran on "w0", "w1" and "w2"
    And the factors of the two kinds were logged by 2 nodes

  Scenario: Batch tasks with time leave the last room on fast workers free
    Given a cell of 2 nodes and 6 workers
    And workers "w3", "w4" and "w5" are of a kind on which tasks take 2.5 times as long
    When 1 s passes
    And 12 jobs of 6 urgent tasks that take 0.4 s are submitted 1.2 s apart
    And 1 s passes
    And a job "load" with 18 urgent tasks that take 9 s is submitted
    And 1 s passes
    And a job "batch" with 21 batch tasks that take 0.4 s is submitted
    And 4 s pass
    Then job "batch" is succeeded
    And all tasks of job "batch" ran on "w3", "w4" and "w5"
