Feature: The daemon's settings are checked before it starts

  Scenario: Settings with every required option are read
    When the settings are read
    Then the body timeout is 5 seconds

  Scenario Outline: The section <section> has <line>
    When the settings have the line <line> in the section <section>
    Then the error names <option> and allows <allowed>

    Examples: lines
      | section     | line                  | option             | allowed                                 |
      | node        | http = 10.0.0.1       | [node] http        | IP:PORT with a port from 0 to 65535     |
      | node        | http = entry:80       | [node] http        | IP:PORT with a port from 0 to 65535     |
      | node        | peer = 10.0.0.1:65536 | [node] peer        | IP:PORT with a port from 0 to 65535     |
      | node        | zone = Batang Two     | [node] zone        | 1 to 63 of a-z, 0-9, dot, underscore and hyphen |
      | log         | address = 10.0.0.1    | [log] address      | a URL as http://10.0.0.1:8080           |
      | log         | timeout_s = 0         | [log] timeout_s    | a number from 0.1 to 60                 |
      | telemetry   | traces = maybe        | [telemetry] traces | one of off, log, otlp                   |
      | telemetry   | sampled = nan         | [telemetry] sampled | a number from 0 to 1                   |
      | service     | max_in_flight = 1.5   | [service] max_in_flight | a whole number from 1 to 100000    |
      | operators   | tokens = secret       | [operators] tokens | SHA-256 digests of 64 hexadecimal digits each |

  Scenario Outline: A misspelt <what>
    When the settings have the line <line> in the section <section>
    Then the error suggests <nearest>

    Examples: names
      | what    | section  | line         | nearest   |
      | option  | log      | timout_s = 1 | timeout_s |
      | section | operator | tokens =     | operators |

  Scenario: Every error is told at once
    When the settings are empty
    Then 8 errors are reported

  Scenario: A wrong file ends the daemon with its exit code
    When the daemon starts with a file that is missing
    Then it ends with exit code 2 and names the file
