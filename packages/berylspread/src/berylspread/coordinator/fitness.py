"""Rates how fit a node is to coordinate.

Load pattern: a cell of unequal VMs.  The coordinator talks to every worker.  On
a VM with a quarter of another's processor, or with a link of 5 Mbit/s, it slows
down all work.  Far from the store, each decision waits for the link between the
regions.
"""

from typing import Final, final

import msgspec

#: A link of this bandwidth is ample for a coordinator of a few hundred workers.
SUFFICIENT_LINK_MBPS: Final = 100.0
#: Applies to a node far from the store, where each append takes 40 ms.
REMOTE_STORE_FACTOR: Final = 0.5
#: A store whose responses take longer is in another region.
MAX_NEAR_RESPONSE_S: Final = 0.015
#: A node with at least this fraction of the others' best fitness claims as soon
#: as the fittest; a coordinator with less hands over.
MIN_FITNESS_RATIO: Final = 0.7
#: The fitness that a node assumes of the others until the leader has reported
#: it: that of one core.
DEFAULT_FITNESS: Final = 1.0
#: Number of successive polls of the leader's record without a renewal after
#: which a node claims.
SILENCES_BEFORE_CLAIM: Final = 1
#: The same for a node that lets fitter ones claim first.
UNFIT_SILENCES_BEFORE_CLAIM: Final = 2
#: A node that lets others claim first reads the leader's record only if the
#: leader itself has not replied for this long.
LEADER_REPLY_VALID_S: Final = 1.0


@final
class Capacity(msgspec.Struct, frozen=True):
    """The processor cores of a node's VM and the bandwidth of its link."""

    cores: float
    link_mbps: float


DEFAULT_CAPACITY: Final = Capacity(1.0, 1000.0)


def compute_fitness(capacity: Capacity, *, is_near: bool) -> float:
    """Return the fitness of a node; it is 1 for a whole core near the store."""
    link = min(capacity.link_mbps / SUFFICIENT_LINK_MBPS, 1.0)
    store_factor = 1.0 if is_near else REMOTE_STORE_FACTOR
    return capacity.cores * link * store_factor


def should_step_down(own: float, best_other_fitness: float) -> bool:
    """Return whether a coordinator should hand over to a fitter node."""
    return own < MIN_FITNESS_RATIO * best_other_fitness


@final
class Candidacy:
    """A node's own fitness, and the others' best as the leader reports it."""

    __slots__ = (
        'best_other_fitness',
        'best_response_s',
        'capacity',
        'leader_replied_at',
    )

    def __init__(self, capacity: Capacity) -> None:
        self.capacity = capacity
        #: The shortest response time of the store so far.
        self.best_response_s = float('inf')
        #: The best fitness among the other nodes, without the leader.
        self.best_other_fitness = DEFAULT_FITNESS
        #: When the leader itself last replied, in loop time.
        self.leader_replied_at = float('-inf')

    def record_response_time(self, took_s: float) -> None:
        """Record how long the store took to respond."""
        self.best_response_s = min(self.best_response_s, took_s)

    def record_leader_reply(
        self, best_other_fitness: float, moment: float
    ) -> None:
        """Record a reply of the leader and the fitness that it reports."""
        self.best_other_fitness = best_other_fitness
        self.leader_replied_at = moment

    def fitness(self) -> float:
        """Return this node's own fitness."""
        return compute_fitness(
            self.capacity, is_near=self.best_response_s < MAX_NEAR_RESPONSE_S
        )

    def claims_first(self) -> bool:
        """Return whether this node claims as soon as any other."""
        return self.fitness() >= MIN_FITNESS_RATIO * self.best_other_fitness

    def silences_before_claim(self) -> int:
        """Return after how many polls without a renewal to claim."""
        return (
            SILENCES_BEFORE_CLAIM
            if self.claims_first()
            else UNFIT_SILENCES_BEFORE_CLAIM
        )

    def may_skip_reads(self, moment: float) -> bool:
        """Return whether the leader's record need not be read."""
        is_fresh = moment - self.leader_replied_at < LEADER_REPLY_VALID_S
        return is_fresh and not self.claims_first()
