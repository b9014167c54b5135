Feature: Gangs

  The tasks of a gang start either all at once or not at all, on several racks.

  Scenario Outline: A gang on three racks, with <lost> <message> lost
    Given a fleet of three racks
    And the next <lost> <message> messages are lost
    When a job of 40 tasks that run 20 s comes to pattern-proof
    Then within 60 s all members run at the same time
    And within 60 s the job has ended with 40 succeeded
    And at most <starts> tasks were started
    And every guarantee held

    Examples:
      | message      | lost | starts |
      | ReserveAsk   | 2    | 40     |
      | ReserveReply | 2    | 40     |
      | CommitAsk    | 1    | 40     |
      | CommitReply  | 3    | 40     |
      | ReleaseHold  | 3    | 40     |

  Scenario: A hold that expires before the commit arrives
    Given a fleet of three racks
    And the next 9 CommitAsk messages are lost
    When a job of 40 tasks that run 20 s comes to pattern-proof
    Then within 90 s all members run at the same time
    And within 60 s the job has ended with 40 succeeded
    And every guarantee held

  Scenario: A gang that does not fit holds no room
    Given a fleet of three racks
    And 20 tasks of pattern-proof that run 40 s
    When a job of 40 tasks that run 20 s comes to pattern-proof
    And a job of 10 tasks that run 5 s comes to ledger
    Then within 30 s the job has ended with 10 succeeded
    And 30 tasks were started

  Scenario: Two gangs that each need most of the fleet
    Given a fleet of three racks
    When a job of 30 tasks that run 10 s comes to pattern-proof
    And a job of 30 tasks that run 10 s comes to pattern-proof
    Then within 90 s every job has ended with 30 succeeded
    And each task was started once
    And every guarantee held

  Scenario: A member that is lost restarts the whole gang
    Given a fleet of three racks
    And 10 tasks of pattern-proof that run 40 s
    When a worker of the job dies
    Then within 60 s all members run at the same time
    And within 60 s the job has ended with 10 succeeded
    And 20 tasks were started
    And every guarantee held

  Scenario: A run of a gang of which several members fail is one attempt
    Given a fleet of three racks
    And 6 tasks of pattern-proof that run 20 s
    When tasks 0, 1, 2 of the job fail
    And all members run again and task 3 of the job fails
    And all members run again
    Then within 60 s the job has ended with 6 succeeded
    And 18 tasks were started

  # Guards against restarting a gang without the member that has failed
  Scenario: A gang whose member fails every attempt ends as a whole
    Given a fleet of three racks
    And 6 tasks of pattern-proof that run 20 s
    When task 0 of the job fails
    And all members run again and task 0 of the job fails
    And all members run again and task 0 of the job fails
    Then within 10 s the gang has ended with 1 member failed and 5 stopped
    And 18 tasks were started
    And every guarantee held

  Scenario: The next home ends a gang whose member fails every attempt
    Given a fleet of three racks
    And 6 tasks of pattern-proof that run 60 s
    When task 0 of the job fails
    And all members run again and task 0 of the job fails
    And all members run again
    Given the next 30 StopTasks messages are lost
    When task 0 of the job fails
    And the job's home dies
    Then within 60 s the gang has ended with 1 member failed and 5 stopped
    And 18 tasks were started
    And every guarantee held

  # Guards against counting a gang's failed run once for each member
  Scenario: A gang that fails as a whole counts once against a worker
    Given a fleet of one rack
    And 10 tasks of pattern-proof that run 20 s
    When all tasks of the job fail
    Then no worker is in quarantine
    And within 60 s the job has ended with 10 succeeded
    And 20 tasks were started

  # Guards against a gang that goes on without a lost member
  Scenario: GANG: a member that is lost with its rack's owner restarts the gang
    Given a fleet of three racks
    And 10 tasks of pattern-proof that run 300 s
    When a worker of the job and the owner of its rack die
    Then within 90 s all members of the next run have started together
    And 20 tasks were started
