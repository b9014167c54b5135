"""A budget for retries: a ratio of the calls, not a count for each call."""

from typing import Final, final

RETRY_RATIO: Final = 0.1
MAX_BALANCE: Final = 20.0


@final
class RetryBudget:
    """Each call earns a part of a retry; each retry spends a whole one."""

    __slots__ = ('balance', 'ratio')

    def __init__(self, ratio: float = RETRY_RATIO) -> None:
        """Start with a few retries, so that the first calls have some."""
        self.ratio = ratio
        self.balance = MAX_BALANCE / 2

    def earn(self) -> None:
        """Count a call."""
        self.balance = min(self.balance + self.ratio, MAX_BALANCE)

    def spend(self) -> bool:
        """Take a retry; return whether there was one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
