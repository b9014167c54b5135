Feature: The VM list lags, goes stale and fails

  Scenario Outline: A change shows late
    Given a VM list that lags by 10 seconds
    And the list is <condition>
    When a VM is <changed> after 60 seconds
    Then a node that reads after <seconds> seconds sees it as <seen>

    Examples:
      | condition      | changed | seconds | seen        |
      | up             | added   | 69      | absent      |
      | up             | added   | 71      | live        |
      | up             | leaving | 69      | live        |
      | up             | leaving | 71      | leaving     |
      | up             | removed | 69      | live        |
      | up             | removed | 71      | absent      |
      | stale          | removed | 600     | live        |
      | lagging by 300 | removed | 359     | live        |
      | lagging by 300 | removed | 371     | absent      |
      | down           | added   | 71      | unavailable |
