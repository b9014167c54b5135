Feature: Calls to the store, to workers and for permissions

  Scenario: Records are framed and read back
    Given the records "a=1" and "b=2"
    When they are framed as the answer to a read from offset 7
    Then the read has "a=1" at 7 and "b=2" at 8

  Scenario Outline: The response to an append becomes a value or a typed failure
    Given the platform answers an append with <answer>
    When a record is appended
    Then the outcome is <outcome>

    Examples:
      | answer                       | outcome                            |
      | 200 {"offset":4,"end":5}     | appended up to 5                   |
      | 409 {"reason":"fenced"}      | store-rejected                     |
      | 409 {"reason":"seq","seq":3} | store-rejected with 3 next         |
      | 412 {"end":9}                | store-rejected                     |
      | 503 {}                       | log-unavailable and nothing done   |
      | 429 {}                       | log-unavailable and nothing done   |
      | 507 {}                       | log-unavailable and nothing done   |
      | 500 {}                       | log-unavailable and perhaps done   |
      | 200 not JSON                 | log-unavailable and perhaps done   |
      | no answer                    | log-unavailable and perhaps done   |
      | no connection                | log-unavailable and nothing done   |

  Scenario: All pages of a topic's newest records are read
    Given the platform answers with two pages of newest records
    When the newest records are read
    Then keys "a" and "b" are known, to be followed from 5

  Scenario: Malformed records are a typed failure
    Given the platform answers an append with 200 short
    When records are read
    Then the outcome is log-unavailable and perhaps done

  Scenario Outline: The outcome of a run is decoded from its name on the wire
    Then outcome "<how>" is read as <outcome>

    Examples:
      | how      | outcome         |
      | done     | succeeded       |
      | failed   | failed          |
      | stopped  | stopped         |
      | lapsed   | lease-over      |
      | broken   | gang-broken     |
      | alone    | gang-incomplete |
      | vanished | unknown         |

  Scenario: A task is run again after an unknown outcome
    Then outcome "vanished" has the effect of "stopped"

  Scenario Outline: A worker's response to an order becomes a value or a failure
    Given the platform answers an order with <answer>
    When a run is started
    Then the outcome is <outcome>

    Examples:
      | answer                                | outcome                      |
      | 200 {"clockMs":482113}                | clock 482113                 |
      | 409 {"clockMs":1,"reason":"fence"}    | refused as stale-fence       |
      | 409 {"clockMs":1,"reason":"old"}      | refused as stale-run         |
      | 409 {"clockMs":1,"reason":"late"}     | refused as late              |
      | 409 {"clockMs":1,"reason":"room"}     | refused as no-room           |
      | 409 {"clockMs":1,"reason":"ticket"}   | refused as no-ticket         |
      | 409 {"clockMs":1,"reason":"newword"}  | worker-unreachable           |
      | 421 {}                                | refused as other-instance    |
      | 503 {}                                | refused as unhealthy         |
      | 200 not JSON                          | worker-unreachable           |
      | no answer                             | worker-unreachable           |

  Scenario: A report lists running and ended runs
    Given the platform answers an order with 200 {"clockMs":5,"born":9,"running":[["t",2,"c",41,7]],"finished":[[58,"u",1,"done",""]]}
    When a lease is renewed
    Then run 2 of "t" is at 41 percent
    And end 58 is that of run 1 of "u" as "succeeded"

  Scenario: A read continues while bytes of its response arrive
    Given a store on loopback that answers a byte each 0.05 s
    When the newest records are read with 0.3 s of patience
    Then the records end at 5

  Scenario: A read times out when no more bytes arrive
    Given a store on loopback that answers half and falls silent
    When the newest records are read with 0.3 s of patience
    Then the outcome is log-unavailable and perhaps done
