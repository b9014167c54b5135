Feature: A plug-in of one's own

  Scenario: The worked example of the plug-in page
    Given the example scorer with the options "hot = k0"
    And a fleet of 16 workers in racks "k0" and "k1"
    When a document with the scorers "best-fit cool:10" places 8 tasks
    Then all of them run in rack "k1"

  Scenario: A wrong option is refused
    When the example scorer gets the option "hott = k0"
    Then it is refused and "hot" suggested
