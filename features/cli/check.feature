Feature: A document is checked before it is sent
  Operators check a document on their own machine: what is wrong with it, and
  what it changes against the version in force.

  Scenario: The document in force has nothing to report
    Given the running fleet
    When the operator key runs berylspread check {plain} --against=current
    Then it exits with 0
    And it prints changes: 0

  Scenario: Every error is printed with its line
    Given the running fleet
    When the operator checks the document with "share = 80" as "sahre = 80"
    Then it exits with 1
    And the check reports 2 errors and 0 warnings
    And an error is on the line of "sahre = 80"

  Scenario: A document that is not INI
    Given the running fleet
    When the operator checks the document with "[environment]" as "[environment"
    Then it exits with 1
    And the check reports 1 errors and 0 warnings

  Scenario: A limit below one task of the team is a warning
    Given the running fleet
    When the operator checks the document with "limit_cpu = 500" as "limit_cpu = 6"
    Then it exits with 2
    And the check reports 0 errors and 1 warnings
    And the check says that [team patterns] limit_cpu changes from 500 to 6: refused if more is in use, unless forced; tasks above it are then preempted

  Scenario: A shorter lease cannot follow the one in force
    Given the running fleet
    When the operator checks the document with "[environment]" as "[timing]/lease_s = 2//[environment]"
    Then it exits with 1
    And the check reports 1 errors and 0 warnings

  Scenario: A queue that moves to another team
    Given the running fleet
    When the operator checks the document with "team = quotes" as "team = proofs"
    Then it exits with 2
    And the check says that [queue quote] team changes from quotes to proofs: keys of the former team are refused here, those of the new one accepted

  Scenario: A base that cannot be parsed is a warning and is not compared
    Given the running fleet
    When the operator checks the document against one with "limit_cpu = 500" as "limit_cpu = many"
    Then it exits with 2
    And the check reports 0 errors and 1 warnings
    And a warning says "cannot be compared"
    And the check reports no changes

  Scenario: An added team has the effect of its section only
    Given the running fleet
    When the operator checks the document with "[environment]" as "[team night]/organisation = office/share = 0/limit_cpu = 20//[environment]"
    Then the only effect on [team night] is "keys may be created for it"

  Scenario: A removed team has the effect of its section only
    Given the running fleet
    When the operator checks the document against one with "[environment]" as "[team night]/organisation = office/share = 0/limit_cpu = 20//[environment]"
    Then the only effect on [team night] is "its keys are refused"

  Scenario: An added queue has the effect of its section only
    Given the running fleet
    When the operator checks the document with "[environment]" as "[queue night]/team = labels/kind = batch//[environment]"
    Then the only effect on [queue night] is "callers may use it"

  Scenario: A queue of another kind
    Given the running fleet
    When the operator checks the document with "kind = batch" as "kind = service"
    Then the only effect on [queue pattern-run] is "accepted jobs keep their kind, new ones have the other"

  Scenario: The same limit written in another way has no effect
    Given the running fleet
    When the operator checks the document with "limit_cpu = 500" as "limit_cpu = 500.0"
    Then the check reports 0 errors and 0 warnings
    And nothing has an effect on [team patterns]

  Scenario Outline: A limit that <change>
    Given the running fleet
    When the operator checks the document with "limit_cpu = 500" as "limit_cpu = <value>"
    Then the only effect on [team patterns] is "<effect>"

    Examples:
      | change     | value | effect                                                                          |
      | rises      | 600   | more tasks may run at once                                                      |
      | is removed | 0     | more tasks may run at once                                                      |
      | falls      | 400   | refused if more is in use, unless forced; tasks above it are then preempted     |

  Scenario: A document for another environment than the one asked for
    Given the running fleet
    When the operator checks the document with "name = production" as "name = trial"
    Then it exits with 1
    And the check reports 1 errors and 0 warnings
    And an error is on the line of "name = trial"

  Scenario: The environment counts only where one is asked for
    Given the running fleet
    When the operator key runs berylspread check {trial}
    Then it exits with 0
    When the operator key runs berylspread check {trial} --environment=production
    Then it exits with 1

  Scenario: A file that cannot be read
    Given the running fleet
    When the operator key runs berylspread check /nonexistent
    Then it exits with 1
    And the error output starts with berylspread: /nonexistent:
