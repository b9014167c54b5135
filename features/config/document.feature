Feature: The document
  Operators write one INI document for each environment.  A document is checked
  as a whole, and every error names the section, the option and what is allowed.

  Scenario Outline: The committed examples have no errors
    Given the example "<name>"
    Then it has no errors and no warnings
    And it has 6 organisations and 2 regions
    And "<team>" is entitled to <share> of the fleet
    And its policy weighs "<measure>" most

    Examples:
      | name    | team        | share | measure  |
      | suryadi | proofs      | 0.28  | waiting  |
      | hanbit  | supervisors | 0.28  | nearness |

  Scenario Outline: An error names where it is and what is allowed
    Given the example "suryadi"
    When in [<section>] the option "<option>" is set to "<value>"
    Then the only error is in [<place>] <option> with <field> "<expected>"

    Examples:
      | section              | option             | value       | place                | field   | expected                       |
      | queue proof          | cpu                | plenty      | queue proof          | allowed | a number from 0 to 1000000     |
      | queue proof          | slots              | 5000        | queue proof          | allowed | a whole number from 0 to 1000  |
      | queue proof          | kind               | interactiv  | queue proof          | allowed | one of interactive, batch, gang, service |
      | queue proof          | idempotent         | maybe       | queue proof          | allowed | yes or no                      |
      | queue proof          | prioritty          | 3           | queue proof          | nearest | priority                       |
      | queue proof          | team               | proof       | queue proof          | nearest | proofs                         |
      | queue proof          | default_deadline_s | 11          | queue proof          | allowed | at most 10                     |
      | zone batang          | region             | centraljava | zone batang          | nearest | central-java                   |
      | team proofs          | organisation       | sale        | team proofs          | nearest | sales                          |
      | timing               | lease_s            | nan         | timing               | allowed | a number from 1 to 3600        |
      | organisation office  | share              | 6           | organisation         | allowed | at most 100                    |
      | team quotes          | share              | 20.5        | organisation sales   | allowed | at most 100                    |

  Scenario: A required option is missing
    Given the example "suryadi"
    When in [team proofs] the option "share" is left out
    Then the only error is in [team proofs] share with allowed "a number from 0 to 100"

  Scenario: An unknown kind of section
    Given the example "suryadi"
    When the section [quue fast] is added
    Then the only error is in [quue fast] with nearest "queue"

  Scenario: A cycle of organisations
    Given the example "suryadi"
    When in [organisation sales] the option "parent" is set to "pattern"
    And in [organisation pattern] the option "parent" is set to "sales"
    And in [team patterns] the option "share" is set to "65"
    And in [team proofs] the option "share" is set to "55"
    Then there are errors in [organisation sales] parent and [organisation pattern] parent

  Scenario: Every error is reported at once
    Given the example "suryadi"
    When in [queue proof] the option "cpu" is set to "plenty"
    And in [queue proof] the option "team" is set to "nobody"
    And in [timing] the option "lease_s" is set to "0"
    And the section [quue fast] is added
    Then there are 4 errors

  Scenario Outline: Text that is not INI
    Given the document "<text>"
    Then there is 1 error that names the document

    Examples:
      | text                                   |
      | [environment                           |
      | name = production                      |
      | [environment]/name = trial/name = trial |

  Scenario: Plug-ins are checked against their registry
    Given the example "suryadi"
    When in [policy] the option "scorers" is set to "spread, sprad"
    Then the only error is in [policy] scorers with nearest "spread"

  Scenario: The options of a plug-in are checked
    Given the example "suryadi"
    When the section [plugin scorer spread] is added with "weight" as "heavy"
    Then the only error is in [plugin scorer spread] weight with allowed "a number from 0 to 100.0"

  Scenario: A shape that no worker holds is a warning
    Given the example "suryadi"
    When in [queue inspect] the option "memory_gib" is set to "129"
    Then it has a warning for [queue inspect] that names "memory_mib"

  Scenario: A limit below what runs
    Given the example "suryadi"
    Then 161 tasks of "proofs" running is an error in [team proofs] limit_tasks
    And 160 tasks of "proofs" running is no error

  Scenario: Shares multiply along the tree of organisations
    Given the example "suryadi"
    When the section [organisation desk] is added with "share" as "50"
    And in [organisation desk] the option "parent" is set to "sales"
    And in [team proofs] the option "organisation" is set to "desk"
    Then "proofs" is entitled to 0.14 of the fleet

  Scenario: The difference of two documents
    Given the example "suryadi"
    When in [team proofs] the option "limit_tasks" is set to "200"
    And in [team quotes] the option "limit_cpu" is left out
    And the section [zone tegal] is added with "region" as "central-java"
    Then the changes are
      | section     | option      | before | after        |
      | team proofs | limit_tasks | 160    | 200          |
      | team quotes | limit_cpu   | 100    | -            |
      | zone tegal  |             | -      | zone tegal   |
      | zone tegal  | region      | -      | central-java |

  Scenario: Random text never raises an exception
    When random texts are parsed
    Then each gives a document or errors
