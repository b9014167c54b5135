Feature: The settings file of the platform

  Scenario: The fields that are used are read and others are ignored
    Given a settings file with node "entry-1" at "10.1.0.17" and ports 7420 to 7435
    When the settings are read
    Then the other nodes reach it at "10.1.0.17:7420"
    And the configuration stays valid for 2.4 s

  Scenario Outline: The configuration is valid until a key or a queue may have changed
    Given bounds in the settings of <revoke> ms for keys and <apply> ms for the rest
    When the settings are read
    Then the configuration stays valid for <valid> s

    Examples:
      | revoke | apply | valid |
      | 5000   | 2500  | 2.4   |
      | 5000   | 5000  | 4.3   |
      | 2000   | 4000  | 1.3   |

  Scenario Outline: News of the evacuated zones is valid until shortly before the bound
    Given bounds in the settings of <bound> ms for evacuations
    When the settings are read
    Then tasks start for <valid> s without news of the evacuated zones

    Examples:
      | bound | valid |
      | 5000  | 4     |
      | 1000  | 0.5   |

  Scenario: Without a bound for evacuations the start of tasks needs no news
    Given a settings file with node "entry-1" at "10.1.0.17" and ports 7420 to 7435
    When the settings are read
    Then tasks start without news of the evacuated zones

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
      | with an unknown policy  | urgency   |

  Scenario Outline: The policy for too little room
    Given settings with the policy "<named>"
    When the settings are read
    Then the policy for too little room is "<policy>"

    Examples:
      | named   | policy  |
      |         | urgency |
      | cost    | cost    |
      | urgency | urgency |

  Scenario: No file is named
    When the settings are read without a file
    Then they are refused as "invalid-input" naming "BERYLSPREAD_SETTINGS"

  # The platform writes figures as whole numbers or as fractions.
  Scenario Outline: The bounds of leases and of stops are the workers' bounds
    Given bounds in the settings of <lease> ms for leases and <stop> ms for stops
    When the settings are read
    Then workers grant leases of up to <read> ms and kill a run within <killed> ms

    Examples:
      | lease  | stop  | read | killed |
      | 6000   | 900   | 6000 | 900    |
      | 6000.0 | 400.0 | 6000 | 400    |
      | 6000.5 | 400.2 | 6001 | 401    |
