Feature: Records that this version cannot read

  Scenario Outline: A job whose record cannot be read is kept as it is
    Given a cell of 2 nodes and 2 workers
    And tasks of job "b" take 8 s
    When 1 s passes
    And a job "a" with steps of 1 tasks is submitted
    And a job "b" with steps of 2 tasks is submitted
    And 0.5 s pass
    And the record "<key>" is replaced by "<bytes>"
    And the coordinator is killed
    And 3 s pass
    Then one node coordinates
    And requests about job "a" fail as unreadable
    And submitting job "a" again fails as unreadable
    And the record "<key>" is still "<bytes>"
    When 8 s pass
    Then job "b" is succeeded
    And each task of job "b" ran once

    Examples:
      | key     | bytes     |
      | j/a     | ff00      |
      | j/a     | 95a378797aa161a171c000 |
      | s/a.0.0 | ff00      |
      | s/a.0.0 | 9190      |
      | s/a.0.0 | 9190909090 |

  Scenario: Records that name no job are passed over
    Given a cell of 2 nodes and 2 workers
    When 1 s passes
    And the record "z/unknown" is replaced by "ff00"
    And the record "s/none.0.0" is replaced by "ff00"
    And the coordinator is killed
    And 3 s pass
    Then one node coordinates
