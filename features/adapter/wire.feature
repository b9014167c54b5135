Feature: Requests to the store, to workers and for permissions

  Scenario: Records are framed and read back
    Given the records "a=1" and "b=2"
    When they are encoded as the reply to a read from offset 7
    Then the reply has "a=1" at 7 and "b=2" at 8

  Scenario Outline: The response to an append becomes a value or a typed failure
    Given the platform responds to an append with <response>
    When a record is appended
    Then the result is <result>

    Examples:
      | response                     | result                              |
      | 200 {"offset":4,"end":5}     | appended up to 5                    |
      | 409 {"reason":"fenced"}      | store-rejected                      |
      | 409 {"reason":"seq","seq":3} | store-rejected, expecting 3         |
      | 412 {"end":9}                | store-rejected                      |
      | 503 {}                       | log-unavailable, certainly not done |
      | 429 {}                       | log-unavailable, certainly not done |
      | 507 {}                       | log-unavailable, certainly not done |
      | 400 {}                       | records-refused                     |
      | 403 {}                       | records-refused                     |
      | 413 {}                       | records-refused                     |
      | 500 {}                       | log-unavailable, possibly done      |
      | 200 not JSON                 | log-unavailable, possibly done      |
      | no response                  | log-unavailable, possibly done      |
      | no connection                | log-unavailable, certainly not done |

  Scenario: All pages of a topic's newest records are read
    Given the platform responds with two pages of newest records
    When the newest records are read
    Then keys "a" and "b" are read, and the end is 5

  Scenario: Malformed records are a typed failure
    Given the platform responds to an append with 200 short
    When records are read
    Then the result is log-unavailable, possibly done

  Scenario Outline: The outcome of a run is decoded from its name on the wire
    Then outcome "<how>" is decoded as <outcome>

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
    Given the platform responds to an order with <response>
    When a run is started
    Then the result is <result>

    Examples:
      | response                             | result                    |
      | 200 {"clockMs":482113}               | clock 482113              |
      | 409 {"clockMs":1,"reason":"fence"}   | refused as stale-fence    |
      | 409 {"clockMs":1,"reason":"old"}     | refused as stale-run      |
      | 409 {"clockMs":1,"reason":"late"}    | refused as late           |
      | 409 {"clockMs":1,"reason":"room"}    | refused as no-room        |
      | 409 {"clockMs":1,"reason":"ticket"}  | refused as no-ticket      |
      | 409 {"clockMs":1,"reason":"newword"} | worker-unreachable        |
      | 421 {}                               | refused as other-instance |
      | 503 {}                               | refused as unhealthy      |
      | 200 not JSON                         | worker-unreachable        |
      | no response                          | worker-unreachable        |

  Scenario: A report lists running and ended runs
    Given the platform responds to an order with 200 {"clockMs":5,"born":9,"running":[["t",2,"c",41,7]],"finished":[[58,"u",1,"done",""]]}
    When a lease is renewed
    Then run 2 of "t" is at 41 percent
    And row 58 is the end of run 1 of "u" as "succeeded"

  Scenario: A read continues while bytes of its response arrive
    Given a store on loopback that sends a byte each 0.05 s
    When the newest records are read with a timeout of 0.3 s
    Then the records end at 5

  Scenario Outline: A response longer than any legal one is not read
    Given a store on loopback that <sends>
    When the newest records are read with a timeout of 5 s
    Then the result is log-unavailable, possibly done
    And the store sent less than 60000000 bytes

    Examples:
      | sends                     |
      | announces 500000000 bytes |
      | sends chunks without end  |

  Scenario: A read times out when no more bytes arrive
    Given a store on loopback that sends half a response and no more
    When the newest records are read with a timeout of 0.3 s
    Then the result is log-unavailable, possibly done
