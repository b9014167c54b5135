Feature: The states of the ownership protocol are explored exhaustively

  Scenario Outline: The chosen rules never have two holders
    When the explorer visits the scope "<scope>"
    Then it has visited all <states> states
    And it found no state with two holders

    Examples:
      | scope                  | states |
      | one claimant           | 43948  |
      | an electorate replaced | 14589  |

  Scenario: The naive protocol has two holders
    When the explorer visits the naive protocol
    Then it found a state with two holders

  Scenario Outline: The explorer finds two holders if a rule is left out
    When the explorer visits the mutant "<mutant>"
    Then it found a state with two holders

    Examples:
      | mutant                       |
      | promise dropped on consent   |
      | minority consent             |
      | promise counted from receipt |
      | boot quarantine skipped      |
      | electorate not established   |
