"""Decides when a coordinator that the store does not serve hands over.

Load pattern: the store turns the coordinator's VM away for some seconds, or
does not reply to it, while it serves the other VMs.  They would notice only
after the leader's record has not been renewed for a second.
"""

from collections.abc import Mapping
from typing import Final, final

from berylspread.coordinator.fitness import MIN_FITNESS_RATIO
from berylspread.coordinator.interface import (
    Appended,
    Batch,
    KeyedStore,
    Producer,
    Record,
    Snapshot,
)
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure, LogUnavailable

#: Successive refusals of appends after which the VM counts as turned away.  A
#: single one may be due to the rate limit.
REFUSALS_BEFORE_HANDOVER: Final = 2
#: The same for appends without a reply: the age of the last confirmation.  Two
#: renewals are lost by then.
SILENCE_BEFORE_HANDOVER_S: Final = 0.7
#: Pause after a node has declined to take over; it doubles each time.
MIN_RETRY_S: Final = 0.2
MAX_RETRY_S: Final = 3.2


@final
class HandoverPolicy:
    """The refusals of the store, and the attempts to hand over."""

    __slots__ = ('asked_nodes', 'next_attempt_at', 'refusals', 'retry_s')

    def __init__(self) -> None:
        self.refusals = 0
        self.next_attempt_at = 0.0
        self.retry_s = MIN_RETRY_S
        #: The nodes that have declined since the store last served this one.
        self.asked_nodes: set[str] = set()

    def record_reply(self, reply: object) -> None:
        """Record the store's reply to an append."""
        if not isinstance(reply, LogUnavailable):
            self.refusals = 0
            self.retry_s = MIN_RETRY_S
            self.asked_nodes.clear()
        elif reply.fields.get('done') is False:
            self.refusals += 1

    def is_due(self, moment: float, confirmed_age_s: float) -> bool:
        """Return whether to ask another node to take over.

        ``confirmed_age_s`` is the time since the store last confirmed the
        coordinator's authority.
        """
        is_turned_away = (
            self.refusals >= REFUSALS_BEFORE_HANDOVER
            or confirmed_age_s >= SILENCE_BEFORE_HANDOVER_S
        )
        return is_turned_away and moment >= self.next_attempt_at

    def choose_node(self, fitness_by_node: Mapping[str, float]) -> str | None:
        """Return the node to ask next: the fittest that has not declined."""
        best = max(fitness_by_node.values(), default=0.0)
        candidates = [
            node
            for node, fitness in fitness_by_node.items()
            if fitness >= MIN_FITNESS_RATIO * best
        ]
        left = [node for node in candidates if node not in self.asked_nodes]
        if not left:
            self.asked_nodes.clear()
            left = candidates
        return max(left, key=fitness_by_node.__getitem__, default=None)

    def record_declined(self, node: str, moment: float) -> None:
        """Record that a node did not take over."""
        self.asked_nodes.add(node)
        self.next_attempt_at = moment + self.retry_s
        self.retry_s = min(2 * self.retry_s, MAX_RETRY_S)


@final
class ObservedStore:
    """A ``KeyedStore`` that reports the replies to appends to a policy."""

    __slots__ = ('policy', 'store')

    def __init__(self, store: KeyedStore, policy: HandoverPolicy) -> None:
        self.store = store
        self.policy = policy

    async def append(
        self,
        topic: str,
        records: list[Record],
        *,
        producer: Producer | None = None,
        at: int | None = None,
        timeout_s: float,
    ) -> Appended | Failure:
        """Append and report the reply."""
        reply = await self.store.append(
            topic, records, producer=producer, at=at, timeout_s=timeout_s
        )
        self.policy.record_reply(reply)
        return reply

    async def read_newest(
        self, topic: str, *, timeout_s: float
    ) -> Snapshot | Failure:
        """Read the newest records."""
        return await self.store.read_newest(topic, timeout_s=timeout_s)

    async def read_from(
        self, topic: str, offset: int, *, wait_s: float, timeout_s: float
    ) -> Batch | Failure:
        """Read the records from an offset on."""
        return await self.store.read_from(
            topic, offset, wait_s=wait_s, timeout_s=timeout_s
        )


def recent_fitness(
    reports: Mapping[str, tuple[float, float]], max_age_s: float
) -> dict[str, float]:
    """Return the fitness by node that was reported within ``max_age_s``."""
    reported_after = now() - max_age_s
    return {
        node: fitness
        for node, (fitness, reported_at) in reports.items()
        if reported_at >= reported_after
    }
