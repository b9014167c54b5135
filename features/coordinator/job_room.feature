Feature: Room for jobs in the coordinator's memory

  Scenario: A job is refused while others take the memory
    Given room for jobs of 20000 tasks
    When jobs of 15000 and 10000 tasks are submitted
    Then the answers are accepted and overloaded

  Scenario: Jobs that have ended make room
    Given room for jobs of 20000 tasks
    When a job of 15000 tasks is submitted and ends
    And 2 s later a job of 10000 tasks is submitted
    Then the answers are accepted and accepted

  Scenario Outline: A job is too large if it alone takes what large jobs may
    Given room for jobs of 20000 tasks
    When a job of <tasks> tasks is submitted
    Then the answers are <answer>

    Examples:
      | tasks | answer        |
      | 17000 | accepted      |
      | 18000 | job-too-large |
      | 30000 | job-too-large |

  Scenario: The steps of each occurrence count
    Given room for jobs of 20000 tasks
    When a job of 1 task that is repeated 5000 times is submitted
    Then the answers are job-too-large

  Scenario: Large jobs leave room for small ones
    Given room for jobs of 20000 tasks
    When jobs of 10000, 7000, 1000 and 100 tasks are submitted
    Then the answers are accepted and accepted and overloaded and accepted

  Scenario: Jobs of an earlier coordinator count
    Given room for jobs of 20000 tasks
    And a job of 15000 tasks of an earlier coordinator
    When a job of 10000 tasks is submitted
    Then the answers are overloaded
