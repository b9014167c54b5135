Feature: Appends that overtake each other

  # Guards against starts that wait for seconds after one late append.
  Background:
    Given a store that takes 4 ms to reply, and 2 ms more to every second append

  Scenario: An append that arrives late does not slow down those after it
    Given append 20 takes 0.2 s to arrive
    When 200 appends are started as soon as the log takes them
    Then appends 60 to 200 are stored within 0.1 s each
    And the store has the records of 200 appends in order

  Scenario: Several late appends do not add up
    Given append 20 takes 0.2 s to arrive
    And append 21 takes 0.15 s to arrive
    And append 24 takes 0.24 s to arrive
    When 200 appends are started as soon as the log takes them
    Then appends 60 to 200 are stored within 0.1 s each
    And the store has the records of 200 appends in order

  Scenario: Appends behind one that is lost are stored soon after it
    Given append 20 is lost
    When 60 appends are started as soon as the log takes them
    Then appends 40 to 60 are stored within 0.1 s each
    And the store has the records of 60 appends in order

  # Guards against steps of an ended job that are placed anew by a successor.
  Scenario: TWICE: a job that ends while its steps are encoded is stored before them
    Given a store that takes 4 ms to reply, and 0 ms more to every second append
    When a job of 3000 steps ends while the records of its steps are encoded
    Then the store gets the end of the job before the removal of any step
