"""What the home of a team does for its calls: allowances and registrations."""

from typing import Final, final

from berylspread.calls.messages import (
    Allowance,
    AllowanceAsk,
    RegisterAsk,
    Registered,
)
from berylspread.calls.registry import RequestRegistry
from berylspread.kernel import Failure, now
from berylspread.kernel.errors import UnknownName
from berylspread.limits import QuotaLedger
from berylspread.runtime import NodeContext

#: Margin of an entry node's slice against the home's reckoning.
VALIDITY: Final = 0.9


@final
class CallHome:
    """Lends slices of the teams' calls and lets each request through once."""

    __slots__ = ('quota', 'registry')

    def __init__(self, context: NodeContext, quota: QuotaLedger) -> None:
        """Count what a predecessor may have lent as lent."""
        self.quota = quota
        self.registry = RequestRegistry(context.wall)
        for team in quota.teams:
            quota.restore_slices(team, now())

    def lend(self, entry: str, ask: AllowanceAsk) -> Allowance | Failure:
        """Lend an entry node a slice of a team's calls."""
        held = self.quota.lend(
            entry,
            ask.team,
            ask.wanted,
            now(),
            sequence=ask.sequence,
            in_flight=ask.in_flight,
        )
        if held is None:
            return UnknownName(f'no team is called {ask.team!r}', key=ask.team)
        if isinstance(held, Failure):
            return held
        return Allowance(
            ask.team,
            held.offered,
            self.quota.slice_ttl_s * VALIDITY,
            ask.sequence,
        )

    def register(self, ask: RegisterAsk) -> Registered | Failure:
        """Let the first copy of a non-idempotent request through."""
        return self.registry.register(ask)
