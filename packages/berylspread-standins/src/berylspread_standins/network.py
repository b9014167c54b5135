"""The network between VMs: delays, cuts, loss and the narrow link.

Everything that travels between two endpoints asks ``Network`` when it arrives.
The regions share one link each way, with a queue; bytes on it are counted by
purpose.
"""

import asyncio
import collections
import random
from typing import Final, final

from berylspread.kernel.clock import now

#: Arrivals on one path keep their order by at least this much, in seconds.
ORDER_STEP_S: Final = 1e-6
#: One-way delays in seconds.
ZONE_DELAY_S: Final = 0.0002
REGION_DELAY_S: Final = 0.0005
LINK_DELAY_S: Final = 0.02
#: The inter-region link, each way, in bits per second.
LINK_BITS_PER_S: Final = 15e6
#: A longer queue at the link is dropped, in seconds of transmission.
LINK_QUEUE_S: Final = 5.0
BITS_PER_BYTE: Final = 8


@final
class Endpoint:
    """A VM or service as the network sees it."""

    __slots__ = ('name', 'region', 'zone')

    def __init__(self, name: str, region: str, zone: str = '') -> None:
        """Keep the name, which is unique, and where it stands."""
        self.name = name
        self.region = region
        self.zone = zone


@final
class LossRates:
    """Probabilities of what may happen to one message on the network."""

    __slots__ = ('drop', 'duplicate', 'jitter', 'reorder', 'reorder_s')

    def __init__(self) -> None:
        """Start with a network that loses and reorders nothing."""
        self.drop = 0.0
        self.duplicate = 0.0
        self.reorder = 0.0
        #: Extra delay of a reordered message, at most, in seconds.
        self.reorder_s = 0.05
        #: Share of the delay that is added at random.
        self.jitter = 0.1


@final
class Link:
    """One direction of the link between two regions."""

    __slots__ = ('bits_per_s', 'dropped', 'free_at', 'sent_bytes')

    def __init__(self, bits_per_s: float) -> None:
        """Start with an empty queue."""
        self.bits_per_s = bits_per_s
        self.free_at = 0.0
        self.dropped = 0
        self.sent_bytes: collections.Counter[str] = collections.Counter()

    def transmit(self, at: float, size: int, purpose: str) -> float | None:
        """Return the queueing and sending time in seconds, or ``None``."""
        start = max(at, self.free_at)
        if start - at > LINK_QUEUE_S:
            self.dropped += 1
            return None
        self.free_at = start + size * BITS_PER_BYTE / self.bits_per_s
        self.sent_bytes[purpose] += size
        return self.free_at - at


@final
class Network:
    """Delays and faults between endpoints, in the running loop's time.

    A cut names a source and a target, each an endpoint, a region or ``*``, and
    holds in one direction only.
    """

    __slots__ = (
        'cuts',
        'delays',
        'last_arrival',
        'link_bits_per_s',
        'links',
        'rates',
        'rng',
        'slow_s',
    )

    def __init__(
        self,
        rng: random.Random,
        *,
        delays_s: tuple[float, float, float] = (
            ZONE_DELAY_S,
            REGION_DELAY_S,
            LINK_DELAY_S,
        ),
        link_bits_per_s: float = LINK_BITS_PER_S,
    ) -> None:
        """Take one-way delays within a zone, a region and between regions."""
        self.rng = rng
        self.delays = delays_s
        self.link_bits_per_s = link_bits_per_s
        self.links: dict[tuple[str, str], Link] = {}
        self.rates = LossRates()
        self.cuts: collections.Counter[tuple[str, str]] = collections.Counter()
        #: Extra delay by pair of endpoint or region names, in seconds.
        self.slow_s: dict[tuple[str, str], float] = {}
        self.last_arrival: dict[tuple[str, str], float] = {}

    def cut(self, source: str, target: str) -> None:
        """Lose everything from ``source`` to ``target`` until healed."""
        self.cuts[source, target] += 1

    def heal(self, source: str, target: str) -> None:
        """Take one cut back; overlapping cuts are counted."""
        self.cuts[source, target] -= 1
        if self.cuts[source, target] <= 0:
            del self.cuts[source, target]

    def is_cut(self, source: Endpoint, target: Endpoint) -> bool:
        """Return whether messages in this direction are lost."""
        if not self.cuts:
            return False
        return any(pair in self.cuts for pair in _pairs(source, target))

    def link(self, source_region: str, target_region: str) -> Link:
        """Return one direction of the link between two regions."""
        pair = (source_region, target_region)
        found = self.links.get(pair)
        if found is None:
            found = Link(self.link_bits_per_s)
            self.links[pair] = found
        return found

    def arrivals(
        self, source: Endpoint, target: Endpoint, size: int, purpose: str
    ) -> list[float]:
        """Return the loop times at which a message of ``size`` bytes arrives.

        The list is empty if the message is lost and has two times if it is
        duplicated.
        """
        if self.is_cut(source, target) or self._happens(self.rates.drop):
            return []
        delay = self._delay(source, target, size, purpose)
        if delay is None:
            return []
        first = self._in_order(source, target, now() + delay)
        if self._happens(self.rates.duplicate):
            return [first, first + delay]
        return [first]

    async def carry(
        self, source: Endpoint, target: Endpoint, size: int, purpose: str
    ) -> bool:
        """Wait while a message travels; return whether it has arrived."""
        times = self.arrivals(source, target, size, purpose)
        if not times:
            return False
        await asyncio.sleep(max(times[0] - now(), 0))
        return not self.is_cut(source, target)

    def sent_bytes(self) -> collections.Counter[str]:
        """Return the bytes sent between regions, both ways, by purpose."""
        return sum(
            (link.sent_bytes for link in self.links.values()),
            collections.Counter(),
        )

    def _delay(
        self, source: Endpoint, target: Endpoint, size: int, purpose: str
    ) -> float | None:
        zone_s, region_s, link_s = self.delays
        if source.region != target.region:
            link = self.link(source.region, target.region)
            queued_s = link.transmit(now(), size, purpose)
            if queued_s is None:
                return None
            delay = link_s + queued_s
        elif source.zone == target.zone:
            delay = zone_s
        else:
            delay = region_s
        delay += delay * self.rng.random() * self.rates.jitter
        if self.slow_s:
            delay += sum(
                self.slow_s.get(pair, 0) for pair in _pairs(source, target)
            )
        return delay

    def _in_order(
        self, source: Endpoint, target: Endpoint, arrival: float
    ) -> float:
        if self._happens(self.rates.reorder):
            return arrival + self.rng.random() * self.rates.reorder_s
        path = (source.name, target.name)
        earliest = self.last_arrival.get(path, 0.0) + ORDER_STEP_S
        arrival = max(arrival, earliest)
        self.last_arrival[path] = arrival
        return arrival

    def _happens(self, probability: float) -> bool:
        return probability > 0 and self.rng.random() < probability


def _pairs(source: Endpoint, target: Endpoint) -> list[tuple[str, str]]:
    return [
        (left, right)
        for left in (source.name, source.region, '*')
        for right in (target.name, target.region, '*')
    ]
