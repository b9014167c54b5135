Feature: Operators change the configuration

  Scenario Outline: A document with <fault>
    Given the running fleet
    When an operator applies a document with <fault>
    Then it is refused with 400 as invalid-document, not-run
    And an error names the section <section> and the option <option>

    Examples: faults
      | fault                       | section              | option    |
      | a cycle                     | organisation sales   | parent    |
      | a share over 100%           | organisation         | share     |
      | an unknown option           | team proofs          | sahre     |
      | an unknown section          | tream proofs         | -         |
      | a queue without its team    | queue proof          | team      |
      | a value out of range        | timing               | lease_s   |
      | text that is no INI         | -                    | -         |
      | the other environment's name | environment         | name      |

  Scenario: An unknown option suggests the nearest name
    Given the running fleet
    When an operator applies a document with an unknown option
    Then an error suggests share

  Scenario: A limit under what runs is refused unless it is forced
    Given a fleet of its own
    And the team patterns runs 4 tasks of 8 cores
    When an operator lowers the limit of patterns to 16 cores
    Then it is refused with 400 as invalid-document, not-run
    And an error names the section team patterns and the option limit_cpu
    When an operator forces the limit of patterns to 16 cores
    Then the answer is 200

  Scenario: Two operators apply at once
    Given a fleet of its own
    When two operators apply different documents from the same version at once
    Then one document is in force on every node
    And the other operator gets a conflict that names the version in force

  Scenario: A trial is promoted
    Given a fleet of its own
    When the document is applied to trial with a share of 60 for team proofs
    Then production keeps its version
    When the trial is promoted
    Then one document is in force on every node
    And the share of team proofs in force is 0.21

  Scenario: A store that is down
    Given a fleet of its own
    And the store is down
    When an operator lowers the limit of patterns to 16 cores
    Then it is refused with 503 as log-unavailable, unknown
    When the store is back
    And 10 seconds pass
    Then one document is in force on every node
    And a repeat is refused with 409 as conflict, not-run
