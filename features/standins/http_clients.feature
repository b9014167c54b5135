Feature: The stand-ins serve log, VM list and workers over loopback sockets

  Scenario Outline: An append over HTTP
    Given stand-in servers with 3 workers
    And the log server <condition>
    When an entry is appended over HTTP
    Then the append's answer is "<answer>"
    And <entries> entries are in the log in the end

    Examples:
      | condition           | answer           | entries |
      | is up               | offset 1         | 1       |
      | is in an outage     | not applied      | 0       |
      | loses answers       | may have applied | 1       |
      | is slow             | may have applied | 0       |
      | does not listen     | not applied      | 0       |

  Scenario: Entries come back as they were appended
    Given stand-in servers with 3 workers
    When 5 entries of all bytes are appended over HTTP
    Then reading from offset 3 returns entries 3, 4 and 5 and the end 6
    And reading from offset 6 waits and returns none

  Scenario Outline: The VM list over HTTP
    Given stand-in servers with 10 workers
    And a file of further VMs that holds <held>
    When the VM list is fetched over HTTP
    Then it lists 10 workers in 2 racks and <entries> entry VMs

    Examples:
      | held              | entries |
      | one entry VM      | 1       |
      | something else    | 0       |
      | nothing at all    | 0       |

  Scenario: A VM list that does not answer is a failure
    Given stand-in servers with 3 workers
    And the log server does not listen
    When the VM list is fetched over HTTP
    Then it is unavailable

  Scenario: Each worker serves on its own port
    Given stand-in servers with 24 workers
    When a task is started on each listed worker over HTTP
    Then each worker reports its own task, and only that
