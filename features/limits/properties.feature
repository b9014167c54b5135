Feature: The ledgers keep their invariants

  After any order of bookings, holds, adoptions, reports, lost messages and
  handovers, no worker is granted more than its capacity and no team runs more
  than its limit.

  Scenario Outline: Random steps
    Given random steps over the <ledger> ledger
    When 200 runs of them are made
    Then at least 10000 steps kept every invariant

    Examples:
      | ledger   |
      | capacity |
      | quota    |
