Feature: A coordinator that was suspended while its orders waited

  Background:
    Given a worker "i-0" with room for 100 tasks that answers no order

  # An order must not leave after its coordinator has lost its authority.
  Scenario: TWICE: an order that waits during a long suspension is not sent beside a successor
    Given 3 programs that have placed a job of 100 tasks on "i-0"
    And the coordinator is suspended while orders to "i-0" wait for others
    And all others are cut off from "i-0"
    When a successor has placed the tasks on "i-1"
    And the coordinator goes on for 3 s
    Then no task has run twice at a time

  # An order must not leave for a run that counts as lost.
  Scenario: TWICE: an order that waits during a long suspension is not sent for a run that is lost
    Given 1 program that has placed a job of 100 tasks on "i-0"
    And the coordinator is suspended while orders to "i-0" wait for others
    And answers of "i-0" are lost
    When 6 s have passed
    And the coordinator goes on for 3 s
    Then no task has run twice at a time
