Feature: The configuration and the workers' entries in the store

  Scenario: A configuration is decoded into queues and teams
    Given a configuration document
    When the document is decoded
    Then queue "r-1" is served by "desk" with priority 2 and 3 attempts
    And its permission requests take 688 ms and 6.1 ms a worker
    And team "acme" has key "k1" and may run 4000 thousandths of a core

  Scenario: The limits on requests are those of the configuration
    Given a configuration document
    When the document is decoded
    Then a head may have 9000 bytes and take 1500 ms, and a body 5000 bytes
    And callers may be idle for 15000 ms

  Scenario Outline: A malformed configuration is refused
    Given a configuration document <fault>
    When the document is decoded
    Then it is refused as "invalid-input"

    Examples:
      | fault                     |
      | that is not JSON          |
      | without a version         |
      | whose routes are a number |
      | whose route lacks a host  |

  Scenario: An older configuration does not replace a newer one
    Given configuration version 7 is in force
    When configuration version 5 arrives
    Then configuration version 7 is in force

  Scenario Outline: Records that close a zone are told from others
    Given a record with key "<key>" and value "<value>"
    When the record is decoded
    Then it <does>

    Examples:
      | key           | value | does                       |
      | evacuate/zone | {}    | closes zone "zone"         |
      | evacuate/zone |       | opens zone "zone"          |
      | evacuate/a/b  | {}    | closes zone "a/b"          |
      | evacuate/     | {}    | changes nothing            |
      | evacuated     | {}    | changes nothing            |
      | wave/3        | {}    | changes nothing            |

  Scenario: A worker's entry is decoded into capacity and rack
    Given the entry of a worker
    When the entry is decoded
    Then the worker has 16000 thousandths of a core in rack "r1-3"
    And the worker is ready

  Scenario Outline: A malformed worker's entry is refused
    Given the entry of a worker <fault>
    When the entry is decoded
    Then it is refused as "invalid-input"

    Examples:
      | fault                           |
      | that is not JSON                |
      | without capacity                |
      | with an unknown state           |
      | with an address of a wrong type |
      | that is very deeply nested      |
      | with a capacity beyond 2^53     |
      | with a negative capacity        |
      | with a start time beyond 2^53   |
      | with a port out of range        |
      | without a port                  |
      | with a host that is no address  |
      | under an id with a line break   |
      | under an empty id               |
