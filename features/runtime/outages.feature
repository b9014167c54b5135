Feature: Long outages of the platform

  Scenario: The store is down for an hour
    Given a fleet of three nodes
    And 3 running watchers
    And 2 tasks of ledger that run 60 s
    When the store is down for 3600 s and calls come meanwhile
    Then every call was answered
    And no watcher was restarted
    And the submission in the outage was refused as unknown
    And within 30 s the job has ended with 2 succeeded
    And within 30 s a new task starts
    And at most 7 tasks were started
    And every guarantee held

  Scenario: The regions are cut for an hour
    Given a fleet of two small regions
    And 3 running watchers
    When the regions are cut for 3600 s and calls come to both meanwhile
    Then every call was answered
    And no watcher was restarted
    And within 30 s a new task starts
    And every guarantee held
