"""Which node had better coordinate.

Load pattern: a cell of unequal VMs.  The coordinator talks to every worker, so
on a VM with a quarter of another's processor, or with a link of 5 Mbit/s, all
work waits for it; far from the store each decision waits for the link between
the regions.
"""

from typing import Final, final

import msgspec

#: Links beyond this carry a coordinator of a few hundred workers with ease.
SUFFICIENT_LINK_MBPS: Final = 100.0
#: A node far from the store waits 40 ms for each append.
REMOTE_STORE_FACTOR: Final = 0.5
#: Answers of the store that take longer come from another region.
MAX_NEAR_RESPONSE_S: Final = 0.015
#: A node about as fit as the fittest claims as soon as it.
MIN_FITNESS_RATIO: Final = 0.7
#: What a node expects of the others before it has heard of any: one core.
DEFAULT_FITNESS: Final = 1.0
#: Silences of the leader that a node lets pass before it claims.
SILENCES_BEFORE_CLAIM: Final = 1
#: The same for a node that leaves the claim to fitter ones.
UNFIT_SILENCES_BEFORE_CLAIM: Final = 2
#: A node that leaves the claim to others reads the leader's record only after
#: the leader itself has not answered for this long.
LEADER_REPLY_VALID_S: Final = 1.0


@final
class Capacity(msgspec.Struct, frozen=True):
    """What a node's VM has: processor seconds a second, and its link."""

    cores: float
    link_mbps: float


DEFAULT_CAPACITY: Final = Capacity(1.0, 1000.0)


def compute_fitness(capacity: Capacity, *, is_near: bool) -> float:
    """Return how fit a node is; one with a whole core near the store is 1."""
    link = min(capacity.link_mbps / SUFFICIENT_LINK_MBPS, 1.0)
    place = 1.0 if is_near else REMOTE_STORE_FACTOR
    return capacity.cores * link * place


def should_step_down(own: float, best_other_fitness: float) -> bool:
    """Return whether a coordinator had better leave it to the fittest other."""
    return own < MIN_FITNESS_RATIO * best_other_fitness


@final
class Candidacy:
    """A node's own fitness, and what the leader has told of the others."""

    __slots__ = (
        'best_other_fitness',
        'best_response_s',
        'capacity',
        'leader_replied_at',
    )

    def __init__(self, capacity: Capacity) -> None:
        """Know neither the way to the store nor any other node yet."""
        self.capacity = capacity
        #: The quickest answer of the store so far.
        self.best_response_s = float('inf')
        #: The best fitness among the other nodes but the leader.
        self.best_other_fitness = DEFAULT_FITNESS
        #: When the leader itself last answered, by the loop's time.
        self.leader_replied_at = float('-inf')

    def record_response_time(self, took_s: float) -> None:
        """Note how long the store took to answer."""
        self.best_response_s = min(self.best_response_s, took_s)

    def record_leader_reply(
        self, best_other_fitness: float, moment: float
    ) -> None:
        """Note that the leader itself has answered, and what it has heard."""
        self.best_other_fitness = best_other_fitness
        self.leader_replied_at = moment

    def fitness(self) -> float:
        """Return how fit this node is to coordinate."""
        return compute_fitness(
            self.capacity, is_near=self.best_response_s < MAX_NEAR_RESPONSE_S
        )

    def claims_first(self) -> bool:
        """Return whether this node claims as soon as any other."""
        return self.fitness() >= MIN_FITNESS_RATIO * self.best_other_fitness

    def silences_before_claim(self) -> int:
        """Return how many silences of the leader pass before a claim."""
        return (
            SILENCES_BEFORE_CLAIM
            if self.claims_first()
            else UNFIT_SILENCES_BEFORE_CLAIM
        )

    def may_skip_reads(self, moment: float) -> bool:
        """Return whether the leader's record need not be read."""
        is_fresh = moment - self.leader_replied_at < LEADER_REPLY_VALID_S
        return is_fresh and not self.claims_first()
