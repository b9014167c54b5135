Feature: How long a worker waits for an outcome before it reports

  Scenario Outline: The wait ends soon after an urgent run is expected to end
    Given a worker that runs <runs>
    Then its next report waits at most <wait> s

    Examples: runs are pairs of a priority and the remaining seconds
      | runs             | wait |
      | nothing          | 0.9  |
      | 2 in 0.1         | 0.9  |
      | 0 in 5           | 0.9  |
      | 0 in 0.5         | 0.65 |
      | 0 in 0.1         | 0.4  |
      | 0 in -3          | 0.4  |
      | 0 in 0.6, 0 in 2 | 0.75 |
      | 2 in 0.1, 0 in 5 | 0.9  |
