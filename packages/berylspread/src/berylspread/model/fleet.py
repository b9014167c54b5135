"""The VMs of the fleet as the platform lists them."""

import enum
from typing import Final, final

import msgspec


@final
class VmRole(enum.Enum):
    """The role of a VM: entry node or worker."""

    entry = 'entry'
    worker = 'worker'


@final
class VmState(enum.Enum):
    """The state of a VM in the platform's list."""

    live = 'live'
    leaving = 'leaving'


@final
class Vm(msgspec.Struct, frozen=True):
    """A VM; a replacement gets a new ``vm_id``.

    ``address`` is the ``IP:port`` of the daemon's peer service on an entry VM
    and of the backend server's HTTP service on a worker.
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
    """A daemon process on an entry VM; each restart has a new incarnation."""

    node: str
    incarnation: int


PARTITION_PREFIX: Final = 'workers/'


def partition_unit(region: str, rack: str) -> str:
    """Return the name of the unit that consists of a rack's workers."""
    return f'{PARTITION_PREFIX}{region}/{rack}'


def is_partition(unit: str) -> bool:
    """Return whether a unit is a partition, that is, a rack of workers."""
    return unit.startswith(PARTITION_PREFIX)


def shard_unit(region: str, shard: int) -> str:
    """Return the name of the unit that is the home of a shard of teams."""
    return f'teams/{region}/{shard}'


def unit_region(unit: str) -> str:
    """Return the region, which is the second part of a unit's name."""
    return unit.split('/')[1]
