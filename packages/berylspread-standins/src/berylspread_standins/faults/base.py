"""What a fault is, the world it acts on, and the registry of fault kinds."""

import asyncio
import random
from collections.abc import Iterable, Mapping, MutableMapping
from typing import Final, Protocol, TypeVar

from berylspread.kernel.registry import Plugin, Registry
from berylspread_standins.gate import Gate
from berylspread_standins.log_service import LogService
from berylspread_standins.network import Endpoint, Network
from berylspread_standins.vm_list import VmList
from berylspread_standins.worker import Worker

ChoiceT = TypeVar('ChoiceT')

DURATION_S: Final = 20.0
#: A fault lasts for this share of its duration, at least and at most.
SHORTEST: Final = 0.25
LONGEST: Final = 1.75


class Node(Protocol):
    """An entry VM of the assembly under test."""

    endpoint: Endpoint
    gate: Gate

    @property
    def is_running(self) -> bool:
        """Return whether a process runs on the VM."""

    async def kill(self) -> None:
        """Lose the process without a word."""

    async def start(self) -> None:
        """Start a new incarnation."""


class World(Protocol):
    """The assembly under test as fault kinds see it.

    ``workers`` maps addresses to workers.
    """

    @property
    def nodes(self) -> Mapping[str, Node]:
        """Return the entry VMs by name."""

    @property
    def workers(self) -> MutableMapping[str, Worker]:
        """Return the workers by address."""

    @property
    def log(self) -> LogService:
        """Return the log service."""

    @property
    def vms(self) -> VmList:
        """Return the VM list."""

    @property
    def network(self) -> Network:
        """Return the network that everything travels on."""

    async def cancel_jobs(self, share: float, rng: random.Random) -> None:
        """Cancel a share of the jobs that have not ended."""


class Fault(Plugin):
    """A kind of fault; ``duration_s`` is its mean duration in seconds.

    ``inject`` brings the fault about, waits, and takes it back, also when it is
    cancelled.  Any two may overlap; where both set the same value, the first
    to end takes it back.
    """

    __slots__ = ('duration_s',)

    def __init__(self, *, duration_s: float = DURATION_S) -> None:
        """Take the mean duration."""
        self.duration_s = duration_s

    async def inject(self, world: World, rng: random.Random) -> None:
        """Bring the fault about and take it back."""
        raise NotImplementedError

    async def hold(self, rng: random.Random) -> None:
        """Wait for a random duration."""
        await asyncio.sleep(self.duration_s * rng.uniform(SHORTEST, LONGEST))


faults: Final[Registry[Fault]] = Registry('fault')


def pick(found: Iterable[ChoiceT], rng: random.Random) -> ChoiceT | None:
    """Return one of the candidates at random, or ``None`` without any."""
    candidates = list(found)
    return rng.choice(candidates) if candidates else None


def regions(world: World) -> list[str]:
    """Return the regions that hold nodes, in order of their names."""
    return sorted({node.endpoint.region for node in world.nodes.values()})
