Feature: Units are spread evenly, and few units move

  Scenario Outline: A plan
    Given units <units> owned by <owners>
    When they are planned for nodes <nodes>
    Then <moved> units change their owner
    And the loads are <loads>

    Examples:
      | units | owners | nodes | moved | loads |
      | 6     | aabbcc | abc   | 0     | 2 2 2 |
      | 6     | aaabbb | abc   | 2     | 2 2 2 |
      | 6     | aabbcc | ab    | 2     | 3 3   |
      | 4     | aaaa   | abcd  | 3     | 1 1 1 1 |
      | 5     | ------ | ab    | 5     | 2 3   |

  Scenario: Any change of nodes moves few units
    Then a joining node takes no more than its share from the others
    And a leaving node's units are all that move

  Scenario Outline: How long promises of a majority hold
    When promises end at <ends> in an electorate of <members>
    Then authority ends at <until>

    Examples:
      | ends    | members | until |
      | 5 6 7   | 3       | 6     |
      | 5 7     | 3       | 5     |
      | 7       | 3       | -inf  |
      | 7       | 1       | 7     |
      | 1 2 3 4 | 4       | 2     |

  Scenario Outline: Who may promise
    Given a member that booted <booted> s ago, read the log <blind> s ago
    And has read version <version>
    Then it <may> an owner that states version <stated>

    Examples:
      | booted | blind | version | stated | may              |
      | 60     | 1     | 3       | 3      | promises         |
      | 60     | 1     | 3       | 2      | does not promise |
      | 60     | 1     | 3       | 4      | does not promise |
      | 4      | 1     | 3       | 3      | does not promise |
      | 9000   | 7199  | 3       | 3      | promises         |
      | 9000   | 7200  | 3       | 3      | does not promise |
