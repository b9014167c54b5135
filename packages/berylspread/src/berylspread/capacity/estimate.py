"""Estimates the costs of each role and the number of entry VMs needed."""

import math
from typing import Final, final

import msgspec

from berylspread.capacity.coefficients import Coefficients
from berylspread.capacity.fleet import Fleet
from berylspread.capacity.roles import ROLES, RoleCost
from berylspread.capacity.state import node_memory_bytes

#: Share of one core that the process of a node may use at peak load.
USABLE_CORE_SHARE: Final = 0.6
MAX_NODES: Final = 512


@final
class Estimate(msgspec.Struct, frozen=True):
    """The costs of a fleet at peak load.

    ``roles`` are totals over all nodes.  ``cores_per_node`` is the peak of one
    node if units are spread evenly; fields that start with ``control_`` are
    costs while there are no starts, jobs or calls.  ``nodes_needed`` is 0 if
    no number of nodes up to 512 keeps the load of each node within
    ``USABLE_CORE_SHARE`` of a core.
    """

    fleet: Fleet
    roles: list[RoleCost]
    cores: float
    cores_per_node: float
    memory_bytes_per_node: float
    control_cores_per_node: float
    control_bytes_per_s_per_node: float
    sync_bytes_per_s_per_worker: float
    nodes_needed: int


def estimate(fleet: Fleet, coefficients: Coefficients) -> Estimate:
    """Return the costs of a fleet; ``fleet.nodes`` must be greater than 0."""
    roles = [role(fleet, coefficients) for role in ROLES]
    idle = msgspec.structs.replace(
        fleet, starts_per_s=0, jobs_per_day=0, calls_per_s=0
    )
    idle_roles = [role(idle, coefficients) for role in ROLES]
    cores = _total_cores(fleet, coefficients)
    partition_owner = next(
        cost for cost in roles if cost.role == 'partition owner'
    )
    return Estimate(
        fleet=fleet,
        roles=roles,
        cores=cores,
        cores_per_node=cores / fleet.nodes,
        memory_bytes_per_node=node_memory_bytes(fleet, coefficients),
        control_cores_per_node=_total_cores(idle, coefficients) / fleet.nodes,
        control_bytes_per_s_per_node=(
            sum(cost.bytes_per_s for cost in idle_roles) / fleet.nodes
        ),
        sync_bytes_per_s_per_worker=partition_owner.bytes_per_s
        / max(fleet.workers, 1),
        nodes_needed=_nodes_needed(fleet, coefficients),
    )


def _total_cores(fleet: Fleet, coefficients: Coefficients) -> float:
    return math.fsum(role(fleet, coefficients).cores for role in ROLES)


def _nodes_needed(fleet: Fleet, coefficients: Coefficients) -> int:
    for nodes in range(max(fleet.regions, 1), MAX_NODES + 1):
        resized = msgspec.structs.replace(fleet, nodes=nodes)
        if _total_cores(resized, coefficients) <= USABLE_CORE_SHARE * nodes:
            return nodes
    return 0
