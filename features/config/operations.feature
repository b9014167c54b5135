Feature: Operators change documents
  A document comes into force only if it is based on the version in force.  When
  two operators race, one succeeds and the other gets a conflict that names the
  winner.

  Background:
    Given two nodes and production version 1 by "rini"

  Scenario: Two operators race through two nodes
    When "rini" and "budi" both apply a document based on version 1
    Then one of them has the next version
    And the other has a Conflict that names the winner and its version
    And every node has the winner's document in force

  Scenario: The replies of the log are lost
    Given half of the replies of the log are lost
    When "budi" applies 5 documents one after the other
    Then each came into force once, in order, with the version that "budi" got

  Scenario: A document based on an old version
    When "budi" applies a document based on version 1
    And "rini" applies a document based on version 1
    Then "rini" has a Conflict that names "budi"

  Scenario: A document with errors never reaches the log
    When "budi" applies a document with an unknown team in a queue
    Then "budi" has InvalidDocument and the log is as long as before

  Scenario: A document for the other environment
    When "budi" applies the production document to trial
    Then "budi" has InvalidDocument and the log is as long as before

  Scenario: A limit below what runs
    When "budi" lowers the limit of "proofs" to 100 tasks while 120 run
    Then "budi" has InvalidDocument and the log is as long as before

  Scenario Outline: A change that a running system can't follow
    When "budi" applies a document with <option> = <value> in [<section>]
    Then "budi" has <result>

    Examples:
      | section | option  | value | result                                       |
      | limits  | shards  | 5     | InvalidDocument that allows 4                |
      | timing  | lease_s | 14    | InvalidDocument that allows at least 15      |
      | timing  | lease_s | 16    | the next version                             |

  Scenario: Trial, then production
    When "budi" applies a trial document and promotes it
    Then production has the trial document's options under its own name
    And the history of production names "rini" and then "budi"

  Scenario: The trial document changed before it was promoted
    When "budi" applies a trial document and "rini" another one
    And "budi" promotes the trial version that "budi" applied
    Then "budi" has a Conflict that names "rini"

  Scenario: The log does not answer
    When the log is down and "budi" applies a document based on version 1
    Then "budi" has LogUnavailable that says whether it may have applied

  Scenario: An accepted document is in force on every node within seconds
    When "budi" applies a document based on version 1
    Then every node has it in force within 2 s

  Scenario Outline: What a trial document would change
    Given recorded demand of <peak> tasks of "proofs" on "proof"
    When the trial document has <option> = <value> in [<section>]
    Then the evaluation says <said>

    Examples:
      | peak | section       | option      | value | said                                         |
      | 100  | team proofs   | limit_tasks | 100   | limit of proofs 160 to 100, exceeded: none   |
      | 120  | team proofs   | limit_tasks | 100   | limit of proofs 160 to 100, exceeded: slots  |
      | 10   | team proofs   | share       | 40    | share of proofs 0.28 to 0.14                 |
      | 10   | queue proof   | team        | quotes | proof refuses proofs: the queue belongs to another team |
      | 10   | team proofs   | limit_cpu   | 1     | proof refuses proofs: one task exceeds the limit in cpu_milli |
      | 10   | queue proof   | cpu         | 2     | nothing                                      |

  Scenario: A trial document that admits another team
    Given recorded demand of 10 tasks of "quotes" on "proof"
    When the trial document has team = quotes in [queue proof]
    Then the evaluation says proof accepts quotes again
