"""The VMs of the fleet as the platform lists them."""

import enum
from typing import Final, final

import msgspec


@final
class VmRole(enum.Enum):
    """What a VM is for."""

    entry = 'entry'
    worker = 'worker'


@final
class VmState(enum.Enum):
    """What the platform says of a VM."""

    live = 'live'
    leaving = 'leaving'


@final
class Vm(msgspec.Struct, frozen=True):
    """One VM: its identity is new with each replacement.

    ``address`` is ``IP:port`` of the daemon's peer service for an entry VM and
    of the backend server's HTTP service for a worker.
    """

    vm_id: str
    role: VmRole
    address: str
    region: str
    zone: str
    rack: str = ''
    state: VmState = VmState.live


@final
class NodeRef(msgspec.Struct, frozen=True, array_like=True, order=True):
    """An entry VM's process: a restart is a new incarnation."""

    node: str
    incarnation: int


PARTITION_PREFIX: Final = 'workers/'


def partition_unit(region: str, rack: str) -> str:
    """Return the name of the unit that owns a rack's workers."""
    return f'{PARTITION_PREFIX}{region}/{rack}'


def is_partition(unit: str) -> bool:
    """Return whether a unit is a rack of workers."""
    return unit.startswith(PARTITION_PREFIX)


def shard_unit(region: str, shard: int) -> str:
    """Return the name of the unit that is home to a shard of the teams."""
    return f'teams/{region}/{shard}'


def unit_region(unit: str) -> str:
    """Return the region in a unit's name."""
    return unit.split('/')[1]
