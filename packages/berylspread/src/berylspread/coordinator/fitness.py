"""Which node had better coordinate.

Load pattern: a cell of unequal VMs.  The coordinator talks to every worker, so
on a VM with a quarter of another's processor, or with a link of 5 Mbit/s, all
work waits for it; far from the store each decision waits for the link between
the regions.
"""

from typing import Final

#: Links beyond this carry a coordinator of a few hundred workers with ease.
AMPLE_LINK_MBPS: Final = 100.0
#: A node far from the store waits 40 ms for each append.
FAR_FACTOR: Final = 0.5
#: A node about as fit as the fittest claims as soon as it.
NEARLY: Final = 0.7
#: What a node expects of the others before it has heard of any: one core.
USUAL: Final = 1.0


def fitness(cores: float, link_mbps: float, *, is_near: bool) -> float:
    """Return how fit a node is to coordinate; a whole core near the store is 1.

    ``cores`` is the processor time it gets in a second.
    """
    link = min(link_mbps / AMPLE_LINK_MBPS, 1.0)
    return cores * link * (1.0 if is_near else FAR_FACTOR)


def is_nearly(own: float, fittest: float) -> bool:
    """Return whether a node is about as fit as the fittest other."""
    return own >= NEARLY * fittest


def should_step_down(own: float, fittest: float) -> bool:
    """Return whether a coordinator had better leave it to the fittest other."""
    return own < NEARLY * fittest
