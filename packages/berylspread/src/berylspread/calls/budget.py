"""A budget that limits retries to a ratio of the calls."""

from typing import Final, final

RETRY_RATIO: Final = 0.1
MAX_BALANCE: Final = 20.0


@final
class RetryBudget:
    """Adds ``ratio`` retries for each call and subtracts one for each retry.

    The balance is at most ``MAX_BALANCE``.
    """

    __slots__ = ('balance', 'ratio')

    def __init__(self, ratio: float = RETRY_RATIO) -> None:
        """Start with half the maximum, so that early calls may be retried."""
        self.ratio = ratio
        self.balance = MAX_BALANCE / 2

    def earn(self) -> None:
        """Add the share of a retry for a call."""
        self.balance = min(self.balance + self.ratio, MAX_BALANCE)

    def spend(self) -> bool:
        """Subtract one retry; return ``False`` if none is left."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
