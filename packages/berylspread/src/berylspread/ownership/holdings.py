"""The state of units at this node, and its tenures."""

from collections.abc import Callable, Iterator
from typing import final

from absl import logging

from berylspread.kernel.clock import now
from berylspread.kernel.invariants import check
from berylspread.log.folds import UnitClaim
from berylspread.model import NodeRef, unit_region
from berylspread.ownership.interface import Tenure, TenureListener
from berylspread.ownership.rules import NEVER
from berylspread.ownership.states import UnitEvent, UnitState, next_state

TenureEndListener = Callable[[str, int], None]


@final
class Holding:
    """One unit at this node: its state, this node's claim and its tenure."""

    __slots__ = ('claim', 'previous_claim', 'state', 'tenure', 'unit')

    def __init__(self, unit: str) -> None:
        self.unit = unit
        self.state = UnitState.idle
        self.claim: UnitClaim | None = None
        self.previous_claim: UnitClaim | None = None
        self.tenure: Tenure | None = None

    def apply_event(self, event: UnitEvent) -> None:
        """Move to the state that follows the event."""
        self.state = next_state(self.state, event)


@final
class Holdings:
    """Applies claims from the log, and begins and ends tenures."""

    __slots__ = (
        'acquire_listeners',
        'by_unit',
        'lose_listeners',
        'ref',
        'tenure_end_listener',
    )

    def __init__(
        self, ref: NodeRef, tenure_end_listener: TenureEndListener
    ) -> None:
        """Own nothing; the listener is called after each end of a tenure."""
        self.ref = ref
        self.tenure_end_listener = tenure_end_listener
        self.by_unit: dict[str, Holding] = {}
        self.acquire_listeners: list[TenureListener] = []
        self.lose_listeners: list[TenureListener] = []

    def get_or_add(self, unit: str) -> Holding:
        """Return a unit's holding; add an idle one if there is none."""
        return self.by_unit.setdefault(unit, Holding(unit))

    def in_state(self, *states: UnitState) -> list[Holding]:
        """Return the holdings in one of the states, sorted by unit."""
        return [
            self.by_unit[unit]
            for unit in sorted(self.by_unit)
            if self.by_unit[unit].state in states
        ]

    def tenures(self) -> Iterator[Tenure]:
        """Yield the tenures that have begun and not ended."""
        for holding in self.in_state(UnitState.holding):
            if holding.tenure is not None:
                yield holding.tenure

    def apply_claim(self, claim: UnitClaim, previous: UnitClaim | None) -> None:
        """Apply a claim that has won in the log."""
        holding = self.get_or_add(claim.unit)
        if holding.claim is not None and claim.epoch <= holding.claim.epoch:
            return
        self.supersede(claim.unit, claim.epoch)
        if claim.owner != self.ref:
            return
        holding.claim = claim
        holding.previous_claim = previous
        holding.apply_event(UnitEvent.claim_won)

    def supersede(self, unit: str, epoch: int) -> None:
        """End a tenure or claim whose epoch is older than ``epoch``."""
        holding = self.by_unit.get(unit)
        if holding is None:
            return
        if holding.claim is not None and epoch <= holding.claim.epoch:
            return
        self._end_tenure(holding)
        holding.apply_event(UnitEvent.superseded)

    def begin_tenure(self, holding: Holding, until: float) -> None:
        """Begin a tenure that is valid until the loop time ``until``."""
        claim = holding.claim
        check(
            'a tenure begins on a won claim',
            claim is not None and claim.owner == self.ref,
            unit=holding.unit,
        )
        if claim is None:
            return
        holding.apply_event(UnitEvent.cleared)
        holding.tenure = Tenure(holding.unit, claim.epoch, until)
        logging.info('acquired %s, epoch %d', claim.unit, claim.epoch)
        for listener in self.acquire_listeners:
            listener(holding.tenure)

    def extend_tenures(self, region: str, until: float) -> None:
        """Extend the tenures in a region until the loop time ``until``."""
        for holding in self.in_state(UnitState.holding):
            tenure = holding.tenure
            if tenure is None or unit_region(holding.unit) != region:
                continue
            check(
                'an ended tenure is never extended',
                tenure.valid_until > NEVER,
                unit=holding.unit,
                epoch=tenure.epoch,
            )
            tenure.valid_until = max(tenure.valid_until, until)

    def begin_release(self, holding: Holding) -> None:
        """End the tenure for good, before its release is appended."""
        self._end_tenure(holding)
        holding.apply_event(UnitEvent.release_sent)

    def is_suspended(self) -> bool:
        """Return whether any tenure is not valid now."""
        time = now()
        return any(not tenure.is_valid(time) for tenure in self.tenures())

    def _end_tenure(self, holding: Holding) -> None:
        tenure = holding.tenure
        if tenure is None:
            return
        holding.tenure = None
        tenure.valid_until = NEVER
        logging.info('lost %s, epoch %d', tenure.unit, tenure.epoch)
        for listener in self.lose_listeners:
            listener(tenure)
        self.tenure_end_listener(tenure.unit, tenure.epoch)
