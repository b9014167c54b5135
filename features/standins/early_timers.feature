Feature: A timer that fires a nanosecond early does not stop the clock
  The event loop runs timers that are due within its clock's resolution.  Where
  a wait for a deadline starts again after such a timer, virtual time stands
  still.

  Scenario Outline: A wait ends although its timer fires early
    When <waiting> meets another timer half a nanosecond before its end
    Then the wait ends after about 10 seconds

    Examples:
      | waiting                    |
      | a sync that waits          |
      | a log reader that waits    |
      | a lease that lapses        |
