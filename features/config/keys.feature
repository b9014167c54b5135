Feature: Keys of the teams
  A key is shown once, and only its digest is stored.  A withdrawn key stops
  working within seconds on every node, also on one that cannot read the log.

  Scenario: A key's secret is not stored
    When a key for "proofs" is made
    Then its text has the form bsk_ID_SECRET with a secret of 256 bits
    And neither the record nor the snapshot holds the secret

  Scenario Outline: Checking <text>
    Given a key for "proofs" that works and one that was withdrawn
    Then <text> gives <result>

    Examples:
      | text                          | result          |
      | the key                       | proofs          |
      | the withdrawn key             | unauthenticated |
      | the key with another secret   | unauthenticated |
      | the key with another id       | unauthenticated |
      | the key with another prefix   | unauthenticated |
      | the key followed by a space   | unauthenticated |
      | an empty text                 | unauthenticated |
      | a text of a million characters | unauthenticated |

  Scenario Outline: What may happen to a node when a key is withdrawn
    Given 5 nodes in the store's region and 3 in another, with a key that works
    When <fault>
    And the key is withdrawn 30 s later
    Then no node accepts the key 7 s after the withdrawal was confirmed
    And before the withdrawal the key worked on <where>

    Examples:
      | fault                                             | where            |
      | nothing else happens                              | every node       |
      | node a4 is cut off from the log                   | every node       |
      | nodes a3 and a4 are cut off from the log          | every node       |
      | node a4 is cut off from the log and all nodes     | all but a4       |
      | the regions are cut off from each other           | a0 a1 a2 a3 a4   |
      | nodes a3 and a4 and region b are cut off together | a0 a1 a2         |
      | node a4 pauses until the withdrawal               | all but a4       |

  Scenario Outline: A store outage stops no key
    Given 5 nodes in the store's region and 3 in another, with a key that works
    When the store is down for 600 s and <also>
    Then the key works on <where> throughout the outage

    Examples:
      | also                                    | where          |
      | nothing else happens                    | every node     |
      | node a4 is dead                         | every node     |
      | nodes a3 and a4 are dead                | every node     |

  Scenario Outline: A store outage together with another fault
    Given 5 nodes in the store's region and 3 in another, with a key that works
    When the store is down for 600 s and <also>
    Then 10 s into the outage the key works on <where> only

    Examples:
      | also                                    | where          |
      | the regions are cut off from each other | a0 a1 a2 a3 a4 |
      | nodes a2, a3 and a4 are dead            | no node        |

  Scenario: A withdrawal that no majority has read is not confirmed
    Given 5 nodes in the store's region and 3 in another, with a key that works
    When nodes a2, a3 and a4 are cut off from the log and all nodes
    And the key is withdrawn 30 s later
    Then the operator is told that the outcome is unknown

  Scenario: A majority's vouchers expire some hours after the log was last read
    Given a node that trusts a majority for at most 14400 s without the log
    When the majority vouches every second for 6 h without the log
    Then the node's trust ended 14400 s after it last read the log
