Feature: Warnings about a document
  A document may be valid and still say what was not meant: entries that can
  never take effect, or limits that contradict each other.

  Scenario Outline: A warning for <mistake>
    Given the example "suryadi"
    When in [<section>] the option "<option>" is set to "<value>"
    Then the only warning is in [<place>] and says "<reason>"

    Examples:
      | mistake                                   | section              | option           | value        | place                | reason                         |
      | a task larger than every worker           | queue proof          | memory_gib       | 200          | queue proof          | no worker class holds a task   |
      | a task beyond its team's limit            | team patterns        | limit_cpu        | 6            | queue pattern-run    | one task needs                 |
      | a team that is entitled to nothing        | team labels          | share            | 0            | team labels          | the team is entitled to nothing |

  Scenario: A warning for a queue in a region without zones
    Given the example "suryadi"
    When in [zone sidoarjo] the option "region" is set to "central-java"
    And in [queue label-print] the option "region" is set to "east-java"
    Then the only warning is in [queue label-print] and says "has no zone"

  Scenario: A warning for a team whose keys open nothing
    Given the example "suryadi"
    When the team "night" of "office" is added without a queue
    Then the only warning is in [team night] and says "no queue belongs to it"

  Scenario: A warning for an organisation without teams
    Given the example "suryadi"
    When the section [organisation night] is added with "share" as "0"
    Then the only warning is in [organisation night] and says "no team belongs to it"

  Scenario: A warning for options of a plug-in that is not selected
    Given the example "suryadi"
    When the section [plugin scorer spread] is added with "weight" as "2"
    And in [policy] the option "scorers" is set to "best-fit"
    Then the only warning is in [plugin scorer spread] and says "[policy] scorers does not select this plug-in"
