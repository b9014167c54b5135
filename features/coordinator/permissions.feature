Feature: Which node asks for permissions

  Scenario: Long requests leave one node of three free for short ones
    Given nodes "a", "b" and "c" that ask
    When 2 requests of 0.8 s are sent
    Then a request of 0.04 s is answered within 0.05 s

  Scenario: A request waits here while every node has much to ask
    Given nodes "a", "b" and "c" that ask
    When 3 requests of 0.15 s are sent
    Then a request of 0.04 s has to wait

  Scenario: A node whose answers take longer is the second choice
    Given nodes "a", "b" and "c" that ask
    And answers through "a" take 0.1 s longer
    When 1 requests of 0.04 s are sent
    Then the node that was asked is not "a"

  Scenario: A node that has fallen silent is not asked
    Given nodes "a", "b" and "c" that ask
    And "a" was last heard of 1.2 s ago
    And "b" was last heard of 0.6 s ago
    When 1 requests of 0.04 s are sent
    Then the node that was asked is not "a"

  Scenario: Nobody is asked while no node is there
    Given nodes "a", "b" and "c" that ask
    And "a" was last heard of 1.2 s ago
    And "b" was last heard of 1.2 s ago
    And "c" was last heard of 1.2 s ago
    Then no node can be asked

  Scenario Outline: Which workers a step asks about
    Given a step with tickets for "w1" until 5 s and "w2" until 3 s
    And workers "w1", "w2" and "w3" of which "<unknown>" are new
    When the step asks at <moment> s
    Then it asks about "<asked>"

    Examples:
      | unknown | moment | asked |
      | w3      | 2      | w3    |
      |         | 2      |       |
      |         | 4      |       |
      |         | 6      | w1 w2 |
      | w3      | 6      | w1 w2 w3 |
