Feature: Acknowledgement of the ends that a worker lists

  Scenario Outline: Ends that took long to store are acknowledged after a new report
    Given a worker that lists the ends of 3 runs
    And outcomes take <stored> s to be stored
    When the session with the worker goes on for 1 s
    Then its first renewals acknowledge <acked>
    And of these <waiting> wait for a further end, and no other

    Examples:
      | stored | acked   | waiting |
      | 0.02   | 0, 3    | 1, 2    |
      | 0.4    | 0, 0, 3 | 1, 3    |

  Scenario: TWICE: the ends of a worker's next life are not acknowledged unseen
    Given a worker that lists the ends of 3 runs
    And outcomes take 0.4 s to be stored
    And the worker is restarted after its first report, and lists 2 other ends
    When the session with the worker goes on for 1 s
    Then its first renewals acknowledge 0, 0, 0, 2

  Scenario: Ends that go on while the store is slow are acknowledged all the same
    Given a worker that lists one more end with each report
    And outcomes take 0.4 s to be stored
    When the session with the worker goes on for 10 s
    Then all but the last 4 ends have been acknowledged
