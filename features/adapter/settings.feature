Feature: The settings file of the platform

  Scenario: The fields that are used are read and others are ignored
    Given a settings file with node "entry-1" at "10.1.0.17" and ports 7420 to 7435
    When the settings are read
    Then the other nodes reach it at "10.1.0.17:7420"
    And keys stay valid for 4.3 s

  Scenario Outline: A settings file that cannot be used is a typed error
    Given a settings file <fault>
    When the settings are read
    Then they are refused as "invalid-input" naming "<named>"

    Examples:
      | fault                   | named     |
      | without a node name     | nodeName  |
      | with ports as text      | portRange |
      | that is not TOML        | line      |
      | without a store address | address   |

  Scenario: No file is named
    When the settings are read without a file
    Then they are refused as "invalid-input" naming "BERYLSPREAD_SETTINGS"
