Feature: A team's limit split over the regions
  The parts of the regions add up to the limit after every record, so that each
  region enforces its part alone.

  Scenario Outline: The document's limit changes
    Given regions a, b and c of weights 2, 1 and 1
    When the team's limits in tasks are <limits> one after the other
    Then the parts of a, b and c are <parts>

    Examples:
      | limits      | parts      |
      | 100         | 50 25 25   |
      | 7           | 3 2 2      |
      | 1           | 1 0 0      |
      | 100 140     | 70 35 35   |
      | 100 10      | 5 3 2      |
      | 100 0       | 0 0 0      |
      | 100 0 8     | 4 2 2      |

  Scenario Outline: A region gives a part away
    Given regions a, b and c of weights 2, 1 and 1
    And the team's limit is 100 tasks
    When region <source> gives <amount> tasks to region <target>
    Then the parts of a, b and c are <parts>

    Examples:
      | source | target | amount | parts    |
      | a      | b      | 20     | 30 45 25 |
      | a      | b      | 50     | 0 75 25  |
      | a      | b      | 51     | 50 25 25 |
      | a      | x      | 10     | 50 25 25 |
      | b      | b      | 5      | 50 25 25 |
      | b      | a      | -5     | 50 25 25 |

  Scenario: A lower limit after a transfer lets no part grow
    Given regions a, b and c of weights 2, 1 and 1
    And the team's limit is 100 tasks
    When region a gives 50 tasks to region b
    And the limit is set to 60 tasks
    Then the parts of a, b and c are 0 45 15

  Scenario: A region is added and another removed
    Given regions a, b and c of weights 2, 1 and 1
    And the team's limit is 100 tasks
    When the regions become a, b and d of weights 2, 1 and 1
    Then the parts of a, b and d are 63 31 6

  Scenario: Any sequence of limits, regions and transfers
    When random limits, regions and transfers follow one another
    Then the parts always add up to the limit
    And a lower limit lets no part grow
