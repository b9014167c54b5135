"""Hands the coordination over to another node, which claims the next epoch.

The coordinator goes on until the successor has claimed.  The claim alone ends
its epoch: the request only saves the time in which followers would notice.
"""

import asyncio
import contextlib
from typing import Final, final

from berylspread.coordinator.coordinator import Coordinator
from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.fitness import should_step_down
from berylspread.coordinator.leader_record import LeaderRecord
from berylspread.coordinator.leadership import Leadership
from berylspread.coordinator.messages import TakeOver, TookOver
from berylspread.coordinator.permits import MAX_SILENCE_S
from berylspread.coordinator.service import JobService
from berylspread.coordinator.store_access import (
    HandoverPolicy,
    recent_fitness,
)
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure
from berylspread.model import NodeRef
from berylspread.peers import Peers

#: A coordinator hands over to a fitter node only after this time, so that nodes
#: that have just started can announce themselves first.
MIN_TERM_S: Final = 3.0
#: How often a coordinator checks whether the store still serves it.
CHECK_INTERVAL_S: Final = 0.05
#: Time limit of a request to take over: a read and a claim.
TAKEOVER_TIMEOUT_S: Final = 0.8
#: Time limit of a planned handover; after it the record is released.
HANDOVER_TIMEOUT_S: Final = 1.0
#: How long nothing is placed before a successor is asked, and before the term
#: ends, so that no order is on its way: most replies take a few hundredths.
MAX_PAUSE_S: Final = 0.1
#: Nodes asked to take over in a planned handover; nodes that leave decline.
HANDOVER_ATTEMPTS: Final = 4


@final
class Succession:
    """Knows the fitness of the other nodes and asks them to take over."""

    __slots__ = ('fitness_by_node', 'leadership', 'log', 'peers', 'policy')

    def __init__(
        self,
        leadership: Leadership,
        policy: HandoverPolicy,
        log: DecisionLog,
    ) -> None:
        """Keep the parts; ``attach_peers`` sets the connections."""
        self.leadership = leadership
        self.policy = policy
        self.log = log
        self.peers: Peers | None = None
        #: Reported fitness and the time of the report, by node.
        self.fitness_by_node: dict[str, tuple[float, float]] = {}

    def attach_peers(self, peers: Peers) -> None:
        """Set the connections to the other nodes and register the handler."""
        self.peers = peers
        peers.register_handler(TakeOver, self._handle_request)

    def record_fitness(self, node: str, fitness: float) -> None:
        """Record the fitness that another node reports."""
        self.fitness_by_node[node] = (fitness, now())

    def best_other_fitness(self) -> float:
        """Return the best fitness that other nodes have recently reported."""
        reported = recent_fitness(self.fitness_by_node, MAX_SILENCE_S)
        return max(reported.values(), default=0.0)

    async def step_down_if_unfit(self, service: JobService) -> None:
        """Hand over if another node is much fitter."""
        may_hand_over = (
            service.coordinator.is_loaded
            and now() - service.started_at >= MIN_TERM_S
        )
        fitness = self.leadership.candidacy.fitness()
        fittest = self.best_other_fitness()
        if may_hand_over and should_step_down(fitness, fittest):
            self.log.write(
                'step-down',
                fitness=round(fitness, 3),
                fittest=round(fittest, 3),
            )
            await self.hand_over(service)

    async def hand_over(self, service: JobService | None) -> None:
        """Have another node claim, or release the record if none does."""
        if service is not None:
            await service.coordinator.dispatcher.settle_orders(MAX_PAUSE_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HANDOVER_TIMEOUT_S):
                    await self._find_successor(service.coordinator)
            if self.leadership.is_leader:
                await service.coordinator.quiesce()
        await self.leadership.release()

    async def hand_over_when_due(self, epoch: int) -> None:
        """Ask other nodes to take over while the store does not serve this one.

        Their claim ends this node's epoch, also if the reply is lost.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self.policy.is_due(now(), self.leadership.authority_age()):
                continue
            target = self._choose_successor()
            if target is not None:
                self.leadership.update_from_peer(
                    await self._request_takeover(target, epoch, None)
                )

    def _choose_successor(self) -> str | None:
        return self.policy.choose_node(
            recent_fitness(self.fitness_by_node, MAX_SILENCE_S)
        )

    async def _find_successor(self, coordinator: Coordinator) -> None:
        epoch = coordinator.token
        end = await self.leadership.term.pause(HANDOVER_TIMEOUT_S)
        if end is None:
            return
        for _ in range(HANDOVER_ATTEMPTS):
            target = self._choose_successor()
            if target is None or not self.leadership.is_leader:
                return
            record = await self._request_takeover(target, epoch, end)
            if record is not None:
                await coordinator.dispatcher.settle_orders(MAX_PAUSE_S)
                self.leadership.update_from_peer(record)

    async def _request_takeover(
        self, target: str, epoch: int, end: int | None
    ) -> LeaderRecord | None:
        """Return the record of the node's claim, ``None`` if it declines."""
        assert self.peers is not None
        asked_at = now()
        reply = await self.peers.request(
            target, TakeOver(epoch, end), TookOver, timeout_s=TAKEOVER_TIMEOUT_S
        )
        self.log.write(
            'takeover-request',
            epoch=epoch,
            target=target,
            planned=end is not None,
            refusals=self.policy.refusals,
            confirmed_age_s=round(self.leadership.authority_age(), 3),
            took_s=round(now() - asked_at, 3),
            declined=reply.reason if isinstance(reply, Failure) else '',
        )
        if isinstance(reply, Failure):
            self.policy.record_declined(target, now())
            return None
        return reply.record

    async def _handle_request(
        self, source: NodeRef, body: TakeOver
    ) -> TookOver | Failure:
        reply = await self.leadership.take_over(body.epoch, body.end)
        return reply if isinstance(reply, Failure) else TookOver(reply)
