"""Changes the electorates when nodes join or fail."""

import asyncio
from collections.abc import Callable
from typing import final

from absl import logging

from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure
from berylspread.log.folds import Electorate
from berylspread.log.records import ElectorateChanged
from berylspread.model import NodeRef
from berylspread.ownership.consent_collector import ConsentCollector
from berylspread.ownership.fleet import Fleet, pick_members
from berylspread.ownership.liveness_query import LivenessQuery
from berylspread.ownership.policy import rendezvous_order
from berylspread.ownership.rules import majority
from berylspread.ownership.settings import OwnershipSettings
from berylspread.ownership.view import LogAppender, LogView

Regions = Callable[[], list[str]]


@final
class Elector:
    """Proposes the next version of an electorate.

    Every node runs an elector; the first live node in rendezvous order
    proposes, and the first append of a version wins.  A version is appended
    only once the previous one is established, and only by a node that reaches
    a majority of the previous one's members.
    """

    __slots__ = (
        'appender',
        'consent_collector',
        'fleet',
        'liveness_query',
        'log',
        'proposals',
        'ref',
        'region',
        'settings',
    )

    def __init__(
        self,
        ref: NodeRef,
        region: str,
        log: LogView,
        appender: LogAppender,
        fleet: Fleet,
        consent_collector: ConsentCollector,
        liveness_query: LivenessQuery,
        settings: OwnershipSettings,
    ) -> None:
        self.ref = ref
        self.region = region
        self.log = log
        self.appender = appender
        self.fleet = fleet
        self.consent_collector = consent_collector
        self.liveness_query = liveness_query
        self.settings = settings
        self.proposals: dict[str, tuple[tuple[NodeRef, ...], float]] = {}

    async def run(self, regions: Regions) -> None:
        """Update the electorates of ``regions()`` until cancelled."""
        while True:
            for region in regions():
                await self._update_electorate(region)
            await asyncio.sleep(self.settings.settle_s)

    async def _update_electorate(self, region: str) -> None:
        current = self.log.electorate(region)
        candidates = self.fleet.ready_nodes(self.region)
        if not self._is_proposer(region, candidates):
            return
        members = current.members if current else ()
        proposed = await self._proposed_members(region, members, candidates)
        if proposed == members or not _has_majority(candidates, proposed):
            self.proposals.pop(region, None)
            return
        if self._is_settled(region, proposed) and await self._may_change(
            current
        ):
            await self._append_version(region, current, proposed)

    def _is_proposer(self, region: str, candidates: list[NodeRef]) -> bool:
        ranked = rendezvous_order(region, [ref.node for ref in candidates])
        return ranked[:1] == [self.ref.node]

    async def _proposed_members(
        self,
        region: str,
        members: tuple[NodeRef, ...],
        candidates: list[NodeRef],
    ) -> tuple[NodeRef, ...]:
        dropped = await self._members_to_drop(members, candidates)
        staying = [ref for ref in members if ref not in dropped]
        return pick_members(
            region, staying, candidates, self.settings.max_members
        )

    async def _members_to_drop(
        self, members: tuple[NodeRef, ...], candidates: list[NodeRef]
    ) -> set[NodeRef]:
        """Return the members that have ended or were silent for too long.

        Silent members are kept while fewer than ``min_members`` others are
        left and these are a majority: in a smaller electorate the others could
        not afford to lose one more member.
        """
        absent = {ref for ref in members if ref not in candidates}
        ended = {
            ref
            for ref in absent
            if self.fleet.membership.departed_at(ref) is not None
        }
        silent = {
            ref
            for ref in absent - ended
            if self.fleet.unusable_for_s(ref) >= self.settings.remove_after_s
        }
        kept = len(members) - len(ended)
        reachable_count = kept - len(silent)
        if majority(kept) <= reachable_count < self.settings.min_members:
            return ended
        others = [ref.node for ref in candidates]
        return ended | silent - await self.liveness_query.live_according_to(
            others, silent
        )

    def _is_settled(self, region: str, proposed: tuple[NodeRef, ...]) -> bool:
        last_proposed, since = self.proposals.get(region, ((), now()))
        if last_proposed != proposed:
            since = now()
        self.proposals[region] = (proposed, since)
        return now() - since >= self.settings.settle_s

    async def _may_change(self, current: Electorate | None) -> bool:
        if current is None:
            return True
        if not self._reaches_majority(current):
            return False
        if now() < self.consent_collector.established_from(current):
            await self.consent_collector.request_consents(
                current, (), (), current.offset
            )
        return now() >= self.consent_collector.established_from(current)

    def _reaches_majority(self, current: Electorate) -> bool:
        """Return whether a majority is reachable or has certainly ended."""
        reached_count = sum(
            self.fleet.is_usable(ref)
            or self.fleet.membership.departed_at(ref) is not None
            for ref in current.members
        )
        return reached_count >= majority(len(current.members))

    async def _append_version(
        self,
        region: str,
        current: Electorate | None,
        proposed: tuple[NodeRef, ...],
    ) -> None:
        version = current.version + 1 if current else 1
        result = await self.appender.append(
            ElectorateChanged(region, version, proposed)
        )
        if isinstance(result, Failure):
            logging.warning('electorate of %s not changed: %r', region, result)
        else:
            logging.info(
                'electorate of %s changed to version %d', region, version
            )


def _has_majority(
    candidates: list[NodeRef], members: tuple[NodeRef, ...]
) -> bool:
    """Return whether a majority of an electorate is alive and ready."""
    ready_count = sum(ref in candidates for ref in members)
    return ready_count >= majority(len(members))
