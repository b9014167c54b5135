Feature: The ledgers keep their invariants

  Whatever is booked, held, adopted, reported, lost or handed over, no worker is
  granted more than it holds and no team has more running than its limit.

  Scenario Outline: Random steps
    Given random steps over the <ledger> ledger
    When 200 runs of them are made
    Then at least 10000 steps kept every invariant

    Examples:
      | ledger   |
      | capacity |
      | quota    |
