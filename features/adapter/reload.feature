Feature: The platform changes the settings of a process

  # Guards against a process that is ended by the signal before it handles it.
  Scenario: Settings change while the libraries are imported
    Given the settings file of a process that has no platform
    When the process starts and gets SIGHUP as soon as it listens for callers
    Then it logs "start" and then "reload"
    And it still runs

  Scenario: Settings change while the process runs
    Given the settings file of a process that has no platform
    When the process starts and gets SIGHUP once it has logged "start"
    Then it logs "reload"
    And it still runs

  Scenario: A signal that is held back is delivered later
    Given a handler that counts SIGHUP
    When SIGHUP is held back and sent
    Then it has been handled 0 times
    When SIGHUP is released
    Then it has been handled 1 times
