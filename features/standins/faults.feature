Feature: Fault kinds bring faults about and take them back

  Scenario Outline: A fault shows while it lasts and has gone afterwards
    Given a small world of 3 nodes and 4 workers in two regions
    When the fault "<fault>" is injected
    Then <symptom> shows meanwhile
    And the world is whole afterwards

    Examples:
      | fault               | symptom                    |
      | node-kill           | a node that is down        |
      | node-pause          | a node that is paused      |
      | cancellation-wave   | cancelled jobs             |
      | one-way-cut         | a cut                      |
      | region-cut          | a cut                      |
      | message-loss        | loss                       |
      | narrow-link         | a narrow link              |
      | log-outage          | a log that is down         |
      | log-slow            | a slow log                 |
      | log-answers-lost    | a log that loses answers   |
      | retention-cut       | a log without its start    |
      | vm-list-stale       | a stale VM list            |
      | vm-list-lag         | a lagging VM list          |
      | vm-list-down        | a VM list that is down     |
      | worker-dead         | an unreachable worker      |
      | worker-leaving      | a leaving worker           |
      | worker-pause        | a paused worker            |
      | worker-fails-all    | a worker that fails all    |
      | worker-answers-lost | workers that lose answers  |
      | wrong-sizes         | workers with wrong sizes   |
      | clock-drift         | workers with wrong clocks  |

  Scenario: Every registered fault kind is in the table above
    Then the registry holds 21 fault kinds

  Scenario: Any two faults at once leave the world whole
    When each pair of faults overlaps in a small world
    Then each of those worlds is whole afterwards

  Scenario: A fault that is cut short takes itself back
    When each fault is cancelled halfway in a small world
    Then each of those worlds is whole afterwards

  Scenario: The same seed gives the same faults
    When all faults run twice at once from the same seed
    Then both runs took the same course
