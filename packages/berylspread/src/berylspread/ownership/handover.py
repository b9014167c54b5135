"""Planned handover of units to a successor, which claims them."""

import asyncio
import collections
from typing import Final, final

from absl import logging

from berylspread.kernel.clock import now
from berylspread.kernel.errors import Draining, Failure
from berylspread.log.records import Release
from berylspread.model import NodeRef, unit_region
from berylspread.ownership.claiming import Claimant
from berylspread.ownership.holdings import Holding, Holdings
from berylspread.ownership.messages import (
    HandoverAsk,
    HandoverReply,
    UnitEpoch,
)
from berylspread.ownership.planner import Planner
from berylspread.ownership.settings import OwnershipSettings
from berylspread.ownership.states import UnitState
from berylspread.ownership.view import LogAppender, LogView
from berylspread.peers import Peers

MAX_LOG_AGE_S: Final = 3.0


@final
class Handover:
    """Hands units over to successors without a gap in ownership.

    The owner acts until it reads the successor's claim.  Its consent to that
    claim says that it has stopped, so that the successor need not wait for
    the end of promises.
    """

    __slots__ = (
        'appender',
        'claimant',
        'holdings',
        'is_leaving',
        'log',
        'peers',
        'planner',
        'settings',
    )

    def __init__(
        self,
        peers: Peers,
        log: LogView,
        appender: LogAppender,
        planner: Planner,
        claimant: Claimant,
        holdings: Holdings,
        settings: OwnershipSettings,
    ) -> None:
        """Serve the offers of other owners from now on."""
        self.peers = peers
        self.log = log
        self.appender = appender
        self.planner = planner
        self.claimant = claimant
        self.holdings = holdings
        self.settings = settings
        self.is_leaving = False
        peers.register_handler(HandoverAsk, self._handle_offer)

    async def run_balancing(self) -> None:
        """Hand over a few units in each interval, until cancelled."""
        while True:
            await asyncio.sleep(self.settings.move_interval_s)
            if not self.is_leaving:
                await self._hand_over_units(self.settings.moves_at_once)

    async def release_all(self) -> None:
        """Hand all units over, and release those that no node has claimed.

        Handing over ends after ``release_timeout_s`` at the latest.
        """
        self.is_leaving = True
        self.planner.excluded_nodes.add(self.claimant.ref.node)
        deadline = now() + self.settings.release_timeout_s
        while self._has_successors() and now() < deadline:
            await self._hand_over_units(len(self._active_holdings()))
            await asyncio.sleep(self.settings.tick_s)
        await self._release_holdings(self._active_holdings())

    def _has_successors(self) -> bool:
        targets = self._target_nodes()
        return any(
            holding.unit in targets for holding in self._active_holdings()
        )

    def _active_holdings(self) -> list[Holding]:
        return self.holdings.in_state(UnitState.holding)

    async def _hand_over_units(self, count: int) -> None:
        if now() - self.log.tail_seen_at() > MAX_LOG_AGE_S:
            return
        moves: collections.defaultdict[str, list[UnitEpoch]] = (
            collections.defaultdict(list)
        )
        targets = self._target_nodes()
        own = self.claimant.ref.node
        for holding in self._active_holdings():
            target = targets.get(holding.unit, own)
            if target != own and count > 0 and holding.claim is not None:
                count -= 1
                moves[target].append(
                    UnitEpoch(holding.unit, holding.claim.epoch)
                )
        await asyncio.gather(
            *(self._offer_units(node, units) for node, units in moves.items())
        )

    def _target_nodes(self) -> dict[str, str]:
        """Return the planned owner of each unit in regions with own units."""
        targets: dict[str, str] = {}
        regions = {unit_region(one.unit) for one in self._active_holdings()}
        for region in sorted(regions):
            targets.update(self.planner.target_nodes(region))
        return targets

    async def _offer_units(self, node: str, units: list[UnitEpoch]) -> None:
        reply = await self.peers.request(
            node,
            HandoverAsk(tuple(units)),
            HandoverReply,
            timeout_s=self.settings.ask_timeout_s + MAX_LOG_AGE_S,
        )
        if isinstance(reply, Failure):
            logging.info('%s did not accept units: %r', node, reply)

    async def _handle_offer(
        self, _source: NodeRef, body: HandoverAsk
    ) -> HandoverReply | Draining:
        if self.is_leaving:
            return Draining('this node is handing its own units over')
        newest = [
            offered.unit
            for offered in body.units
            if self._is_newest_epoch(offered)
        ]
        return HandoverReply(tuple(await self.claimant.claim(newest)))

    def _is_newest_epoch(self, offered: UnitEpoch) -> bool:
        claim = self.log.claim(offered.unit)
        return claim is not None and claim.epoch == offered.epoch

    async def _release_holdings(self, holdings: list[Holding]) -> None:
        records = [
            Release(holding.unit, holding.claim.epoch, holding.claim.owner)
            for holding in holdings
            if holding.claim is not None
        ]
        for holding in holdings:
            self.holdings.begin_release(holding)
        if records:
            result = await self.appender.append(*records)
            if isinstance(result, Failure):
                logging.warning('append of releases not confirmed: %r', result)
