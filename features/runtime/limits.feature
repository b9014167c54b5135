Feature: A team's upper limit over two regions

  Scenario Outline: The limit holds while <event>
    Given a fleet of two regions whose team inspection may run 6 tasks
    When jobs of 20 tasks of 4 s come to inspect in both regions
    And <event>
    Then at no time more than 6 tasks of the team run
    And both jobs have succeeded within 300 s
    And the limit was reached

    Examples:
      | event                   |
      | nothing else happens    |
      | the team's homes die    |
      | the racks' owners die   |

  Scenario: A lowered limit preempts and resumes
    Given a fleet of two regions whose team inspection may run 6 tasks
    When jobs of 6 tasks of 60 s come to inspect in both regions
    And the limit is lowered to 3
    Then within 10 s at most 3 tasks of the team run
    And both jobs have succeeded within 900 s
