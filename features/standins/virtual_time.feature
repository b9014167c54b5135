Feature: Virtual time
  Tests and randomised runs wait for hours of leases and heartbeats without
  spending them.

  Scenario: Timers fire in the order of their times
    Given timers after 30, 10 and 20 seconds
    When the timers run in virtual time
    Then they fired after 10, 20 and 30 seconds

  Scenario: An hour passes without wall time
    When a task sleeps for 3600 seconds in virtual time
    Then 3600 seconds of virtual time have passed
    And less than 5 seconds of wall time have passed

  Scenario: A clock that has run for long still reaches its timers
    When a task sleeps 10 times for 86400.1 seconds in virtual time
    Then 864001 seconds of virtual time have passed

  Scenario: A timeout ends a wait
    When a wait without end has a timeout of 60 seconds in virtual time
    Then the run fails with TimeoutError
    And 60 seconds of virtual time have passed

  Scenario: A program that waits for nothing is reported
    When a wait without end runs in virtual time
    Then the run fails with VirtualTimeStalledError

  Scenario: Work for a thread is done at once
    When a function runs in the executor in virtual time
    Then 0 seconds of virtual time have passed
    And the function's result is returned

  Scenario: An error of work for a thread reaches its caller
    When a function that fails runs in the executor in virtual time
    Then the run fails with ZeroDivisionError

  Scenario: Two runs take the same course
    Given 50 tasks that sleep for random times
    When the tasks run twice in virtual time
    Then both runs have the same course
