Feature: The load of the records of earlier coordinators

  Scenario Outline: A change that lands between the read and the fence is loaded
    Given the records "a=1 b=2"
    And the change "<change>" of the former epoch lands before the fence
    When a successor loads the records
    Then it has loaded "<loaded>"

    Examples:
      | change | loaded      |
      | a=3    | a=3 b=2     |
      | b=     | a=1         |
      | c=4    | a=1 b=2 c=4 |

  Scenario: Records are read again if the change is no longer retained
    Given the records "a=1 b=2"
    And the change "a=3" of the former epoch lands before the fence
    And the history is dropped before the fence
    When a successor loads the records
    Then it has loaded "a=3 b=2"

  Scenario: The rest is read if the reply to the fence is lost
    Given the records "a=1 b=2"
    And the change "a=3" of the former epoch lands before the fence
    And the first reply to the fence is lost
    When a successor loads the records
    Then it has loaded "a=3 b=2"

  Scenario: Nothing is loaded in an epoch that is over
    Given the records "a=1 b=2"
    And the topic is fenced by epoch 9
    When a successor loads the records
    Then the load has failed
