Feature: Limits hold while messages are lost and nodes fail

  Scenario Outline: Slots in use after a fault
    Given a home with an allotment of <limit> call slots
    And an entry node that was lent <lent> of them
    When <fault>
    Then the home counts <counted> slots in use
    And the entry node may start <may_start> more calls

    Examples:
      | limit | lent | fault                                       | counted | may_start |
      | 10    | 6    | its next request for 8 gets no reply        | 8       | 6         |
      | 10    | 6    | its next request for 2 gets no reply        | 2       | 2         |
      | 10    | 6    | an older request for 9 arrives late         | 6       | 6         |
      | 10    | 6    | the reply to an older request arrives late  | 6       | 6         |
      | 10    | 6    | it dies, and 60 s pass                      | 6       | 0         |
      | 10    | 6    | it dies, and 71 s pass                      | 0       | 0         |
      | 10    | 6    | it is paused for 11 s                       | 6       | 0         |
      | 10    | 6    | the limit is lowered to 4                   | 6       | 6         |
      | 10    | 6    | the limit is lowered to 4 and it asks for 6 | 4       | 4         |

  Scenario: A new home waits for its predecessor's slices
    Given a home with an allotment of 10 call slots
    And an entry node that was lent 6 of them
    When the home is handed over
    Then 0 tasks with a slot are handed out
    When its next request for 6 is answered
    Then 4 tasks with a slot are handed out

  Scenario: A new home does not wait for ever for a dead entry node
    Given a home with an allotment of 10 call slots
    And an entry node that was lent 6 of them
    When the home is handed over
    And 71 s pass
    Then 10 tasks with a slot are handed out

  Scenario: A lowered limit tells what to preempt
    Given a home with an allotment of 10 call slots
    When 8 tasks with a slot are taken
    And the limit is lowered to 5
    Then 3 slots are to be preempted
    And 0 tasks with a slot are handed out

  Scenario: An allotment of zero is not unlimited
    Given a home with an allotment of 10 call slots
    When the region's part of the limit becomes 0
    Then 0 tasks with a slot are handed out

  Scenario: An idle allotment reaches the region that wants it
    Given a region that uses 2 of its allotment of 20
    When another region wants 10 for 30 s
    Then it was given at least 10
    And no amount was given back

  Scenario: A short dip in use gives nothing away
    Given a region that uses 16 of its allotment of 20
    When its use dips to 0 for 3 s and another region wants 10
    Then it was given at most 0
