Feature: The peer network delays, loses and orders messages as told

  Background:
    Given nodes a1 and a2 in one region and b1 in another

  Scenario Outline: A question under a fault of the network
    Given the network fault "<fault>"
    When <asker> asks <asked> with a timeout of 2 seconds
    Then the question is <outcome>
    And the handler ran <times> times

    Examples:
      | fault                     | asker | asked | outcome                 | times |
      | none                      | a1    | a2    | answered within 0.003 s | 1     |
      | none                      | a1    | b1    | answered within 0.05 s  | 1     |
      | none                      | a1    | a1    | answered within 0.001 s | 1     |
      | none                      | a1    | x1    | not sent                | 0     |
      | handlers hang             | a1    | a1    | unanswered              | 1     |
      | handlers hang             | a1    | a2    | unanswered              | 1     |
      | cut from a1 to a2         | a1    | a2    | unanswered              | 0     |
      | cut from a2 to a1         | a1    | a2    | unanswered              | 1     |
      | cut from south to north   | a1    | b1    | unanswered              | 0     |
      | cut from south to north   | a1    | a2    | answered within 0.003 s | 1     |
      | every message dropped     | a1    | a2    | unanswered              | 0     |
      | every message doubled     | a1    | a2    | answered within 0.003 s | 2     |
      | a2 is paused for 1 s      | a1    | a2    | answered within 1.1 s   | 1     |
      | a2 is paused for 3 s      | a1    | a2    | unanswered              | 1     |
      | a1 is paused for 1 s      | a1    | a2    | answered within 1.1 s   | 1     |
      | a1 is paused for 3 s      | a1    | a2    | unanswered              | 1     |
      | a2 has stopped            | a1    | a2    | unanswered              | 0     |
      | a2 starts again           | a1    | a2    | answered within 0.003 s | 0     |
      | a2 starts again in flight | a1    | a2    | unanswered              | 0     |

  Scenario: Messages on one path keep their order despite jitter
    When a1 tells b1 200 numbers
    Then b1 got 200 numbers in order

  Scenario: Reordered messages overtake each other
    Given the network fault "every second message reordered"
    When a1 tells b1 200 numbers
    Then b1 got 200 numbers out of order

  Scenario: The link between the regions is narrow and counted by purpose
    When a1 tells b1 300 messages of 10000 bytes
    Then the last arrives after about 1.6 seconds at 15 Mbit/s
    And the link carried about 3000000 bytes of Number

  Scenario: A queue that is too long is dropped
    When a1 tells b1 1500 messages of 10000 bytes
    Then b1 got between 930 and 950 numbers

  Scenario: A failure travels as a value
    When a1 asks b1 for something that its handler refuses
    Then the answer is the handler's quota-exceeded failure

  Scenario: A handler's exception is the caller's failure
    When a1 asks b1 for something that makes its handler raise
    Then the answer is an internal failure
