"""Claims units without a live owner and begins their tenures."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Final, final

from absl import logging

from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure
from berylspread.log.folds import Electorate
from berylspread.log.records import Claim
from berylspread.model import NodeRef, unit_region
from berylspread.ownership.authority import Authority
from berylspread.ownership.consent_collector import ConsentCollector
from berylspread.ownership.holdings import Holding, Holdings
from berylspread.ownership.liveness_query import LivenessQuery
from berylspread.ownership.messages import UnitEpoch
from berylspread.ownership.planner import Planner
from berylspread.ownership.rules import (
    FOREVER,
    NEVER,
    has_authority,
    may_act,
)
from berylspread.ownership.settings import OwnershipSettings
from berylspread.ownership.states import UnitEvent, UnitState
from berylspread.ownership.view import LogAppender

REQUEST_HORIZON_PROMISES: Final = 2
_CLAIMABLE_STATES = frozenset((UnitState.idle, UnitState.lost))


@final
class Claimant:
    """Claims units and begins their tenures.

    A claim that has won in the log waits until a majority refuses the older
    owners; then its tenure begins.
    """

    __slots__ = (
        'appender',
        'authority',
        'claim_won',
        'consent_collector',
        'holdings',
        'liveness_query',
        'log',
        'next_claim_at',
        'planner',
        'ref',
        'rng',
        'settings',
    )

    def __init__(
        self,
        liveness_query: LivenessQuery,
        appender: LogAppender,
        planner: Planner,
        consent_collector: ConsentCollector,
        authority: Authority,
        holdings: Holdings,
        settings: OwnershipSettings,
        rng: random.Random,
    ) -> None:
        self.ref = holdings.ref
        self.liveness_query = liveness_query
        self.log = planner.log
        self.appender = appender
        self.planner = planner
        self.consent_collector = consent_collector
        self.authority = authority
        self.holdings = holdings
        self.settings = settings
        self.rng = rng
        self.next_claim_at = 0.0
        self.claim_won = asyncio.Event()

    async def run(self, claimable_regions: Callable[[], Iterable[str]]) -> None:
        """Claim units in ``claimable_regions()`` until cancelled."""
        while True:
            for region in claimable_regions():
                claimable = self._claimable_units(region)
                if claimable and self._may_claim(region):
                    await self._claim_after_jitter(region)
            await asyncio.sleep(self.settings.claim_interval_s)

    def _may_claim(self, region: str) -> bool:
        return now() >= self.next_claim_at and self._holds_promises(region)

    async def claim(self, units: Iterable[str]) -> list[str]:
        """Claim the next epoch of units; return the units that were claimed.

        A node without promises claims nothing, because it could not act.
        """
        claims = [self._next_claim(unit) for unit in units]
        claimable = [
            one
            for one in claims
            if self.holdings.get_or_add(one.unit).state in _CLAIMABLE_STATES
            and self._holds_promises(unit_region(one.unit))
        ]
        if not claimable:
            return []
        self._apply_event(claimable, UnitEvent.claim_sent)
        result = await self.appender.append(*claimable)
        if isinstance(result, Failure):
            logging.warning('append of claims not confirmed: %r', result)
            self.next_claim_at = now() + self.settings.claim_backoff_s
            self._apply_event(claimable, UnitEvent.claim_failed)
            return []
        await self.log.wait_for_offset(result, self.settings.ask_timeout_s)
        self._free_unread_claims(claimable)
        return [claim.unit for claim in claimable]

    async def run_waiting(self) -> None:
        """Collect consents and begin tenures of won claims, until cancelled."""
        while True:
            if not self.holdings.in_state(UnitState.waiting):
                self.claim_won.clear()
                await self.claim_won.wait()
            await self._request_missing_consents()
            self.begin_tenures()
            await self._sleep_until_clear()

    def begin_tenures(self) -> None:
        """Begin the tenures of the won claims that may act now."""
        for holding in self.holdings.in_state(UnitState.waiting):
            refused, established = self._refusal_times(holding)
            until = self.authority.valid_until(unit_region(holding.unit))
            if may_act(
                now(), refused=refused, established=established, until=until
            ):
                self.consent_collector.forget_claim(_unit_epoch(holding))
                self.holdings.begin_tenure(holding, until)

    def _claimable_units(self, region: str) -> list[str]:
        targets = self.planner.target_nodes(region)
        owners = self.planner.live_owners(region)
        return [
            unit
            for unit, node in targets.items()
            if node == self.ref.node
            and unit not in owners
            and self.holdings.get_or_add(unit).state in _CLAIMABLE_STATES
        ]

    async def _claim_after_jitter(self, region: str) -> None:
        await asyncio.sleep(self.rng.uniform(0, self.settings.claim_jitter_s))
        live_owners = await self._owners_live_elsewhere(region)
        await self.claim(
            [
                unit
                for unit in self._claimable_units(region)
                if self._unreleased_owner(unit) not in live_owners
            ]
        )

    async def _owners_live_elsewhere(self, region: str) -> set[NodeRef]:
        """Return the silent owners that are live according to other members.

        Owners that have certainly ended are not asked about.
        """
        owners = {
            self._unreleased_owner(unit)
            for unit in self._claimable_units(region)
        }
        silent = [
            owner
            for owner in owners
            if owner is not None
            and self.planner.fleet.membership.departed_at(owner) is None
        ]
        return await self.liveness_query.live_according_to(
            self.planner.eligible_nodes(region), silent
        )

    def _holds_promises(self, region: str) -> bool:
        return has_authority(now(), self.authority.valid_until(region))

    def _unreleased_owner(self, unit: str) -> NodeRef | None:
        claim = self.log.claim(unit)
        return claim.owner if claim and not claim.release_offset else None

    def _next_claim(self, unit: str) -> Claim:
        last = self.log.claim(unit)
        electorate = self.log.electorate(unit_region(unit))
        return Claim(
            unit=unit,
            epoch=last.epoch + 1 if last else 1,
            owner=self.ref,
            electorate_version=electorate.version if electorate else 0,
        )

    def _apply_event(self, claims: Iterable[Claim], event: UnitEvent) -> None:
        for claim in claims:
            self.holdings.get_or_add(claim.unit).apply_event(event)

    def _free_unread_claims(self, claims: Iterable[Claim]) -> None:
        """Make units claimable whose appended claim was not read in time."""
        for claim in claims:
            holding = self.holdings.get_or_add(claim.unit)
            if holding.state is UnitState.claiming:
                holding.apply_event(UnitEvent.claim_failed)

    async def _request_missing_consents(self) -> None:
        """Request the consents that are still missing, region by region."""
        waiting = self.holdings.in_state(UnitState.waiting)
        # A refusal time beyond the horizon does not come from consents: too
        # few members have replied yet, or it is the time at which members that
        # cannot read the log stop promising.
        horizon = (
            now() + REQUEST_HORIZON_PROMISES * self.settings.terms.promise_s
        )
        for region in sorted({unit_region(one.unit) for one in waiting}):
            electorate = self.log.electorate(region)
            missing = [
                holding
                for holding in waiting
                if unit_region(holding.unit) == region
                and max(self._refusal_times(holding)) > horizon
            ]
            if electorate is not None and missing:
                await self._request_consents(electorate, missing)

    async def _request_consents(
        self, electorate: Electorate, missing: list[Holding]
    ) -> None:
        owners = [
            holding.previous_claim.owner
            for holding in missing
            if holding.previous_claim is not None
        ]
        offset = max(
            holding.claim.offset
            for holding in missing
            if holding.claim is not None
        )
        await self.consent_collector.request_consents(
            electorate,
            tuple(_unit_epoch(holding) for holding in missing),
            owners,
            max(offset, electorate.offset),
        )

    def _refusal_times(self, holding: Holding) -> tuple[float, float]:
        """Return from when older owners and older electorates are refused."""
        electorate = self.log.electorate(unit_region(holding.unit))
        claimed = _unit_epoch(holding)
        if (
            _needs_no_consent(holding)
            or claimed in self.consent_collector.predecessor_stopped
        ):
            return NEVER, NEVER
        if electorate is None:
            return FOREVER, FOREVER
        return (
            self.consent_collector.refused_from(claimed, electorate),
            self.consent_collector.established_from(electorate),
        )

    async def _sleep_until_clear(self) -> None:
        """Sleep for a tick, or less if a claim may act sooner."""
        pause_s = self.settings.tick_s
        for holding in self.holdings.in_state(UnitState.waiting):
            ahead_s = max(self._refusal_times(holding)) - now()
            if 0 < ahead_s < pause_s:
                pause_s = ahead_s
        await asyncio.sleep(pause_s)


def _needs_no_consent(holding: Holding) -> bool:
    """Return whether no owner before the claim can act any more.

    That is so for the first epoch, and after a release.
    """
    claim = holding.claim
    if claim is None or claim.epoch == 1:
        return True
    previous = holding.previous_claim
    return (
        previous is not None
        and previous.epoch == claim.epoch - 1
        and bool(previous.release_offset)
    )


def _unit_epoch(holding: Holding) -> UnitEpoch:
    epoch = holding.claim.epoch if holding.claim else 0
    return UnitEpoch(holding.unit, epoch)
