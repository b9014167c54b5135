Feature: The protocol's states are explored exhaustively

  Scenario Outline: The chosen rules never have two holders
    When the explorer visits the scope "<scope>"
    Then it has visited all <states> states
    And it found no two holders

    Examples:
      | scope                  | states |
      | one claimant           | 43948  |
      | an electorate replaced | 14589  |

  Scenario: The naive form has two holders
    When the explorer visits the naive form
    Then it found two holders

  Scenario Outline: A rule left out is found
    When the explorer visits the mutant "<mutant>"
    Then it found two holders

    Examples:
      | mutant                       |
      | promise dropped on consent   |
      | minority consent             |
      | promise counted from receipt |
      | boot quarantine skipped      |
      | electorate not established   |
