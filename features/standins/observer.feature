Feature: The observer sees each broken guarantee

  Background:
    Given workers w1 and w2 with 4 cores each
    And an upper limit of 6 cores for team "t"

  Scenario Outline: What the workers ran breaks a guarantee, or does not
    When the workers run <history>
    Then the observer reports <violations>

    # `+task@worker:cores` starts and `-task@worker` ends an execution; `!`
    # marks work that is not idempotent, `~` a call, a number waits seconds.
    Examples:
      | history                                        | violations          |
      | +a@w1:2 +b@w1:2                                | nothing             |
      | +a@w1:2 +b@w1:3                                | overcommit          |
      | +a@w1:2 ~c@w1:3                                | overcommit          |
      | +a@w1:2 -a@w1 +b@w1:4                          | nothing             |
      | +a@w1:2 +a@w2:2                                | duplicate-execution |
      | +a@w1:2 -a@w1 +a@w2:2                          | nothing             |
      | !a@w1:2 -a@w1 !a@w2:2                          | executed-twice      |
      | !a@w1:2 -a@w1 !b@w2:2                          | nothing             |
      | +a@w1:3 +b@w2:4                                | over-limit          |
      | +a@w1:3 +b@w2:3                                | nothing             |
      | +a@w1:3 ~c@w2:4                                | over-limit          |
      | -a@w1                                          | end-without-start   |

  Scenario Outline: A lowered limit has a grace of 10 seconds
    When the workers run +a@w1:3 +b@w2:3
    And the limit is lowered to 4 cores
    And the workers run <history>
    Then the observer reports <violations>

    Examples:
      | history                    | violations |
      | 9 check                    | nothing    |
      | 11 check                   | over-limit |
      | 5 -a@w1 11 check           | nothing    |
      | 5 -a@w1 +c@w1:3            | nothing    |
      | 5 -a@w1 11 +c@w1:3         | over-limit |

  Scenario: A violation carries its time and evidence
    When the workers run 5 +a@w1:2 +a@w2:2
    Then the violation is of "a", 5 seconds in, and names both workers
