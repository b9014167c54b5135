"""Estimates the costs of each role over the whole fleet.

The processor time of a role is the time that its operations take in the
assembly of ``bench.capacity`` plus the socket time of its messages.
"""

from collections.abc import Callable
from typing import Final, final

import msgspec

from berylspread.capacity.coefficients import Coefficients
from berylspread.capacity.fleet import Fleet
from berylspread.capacity.state import (
    folded_state_memory_bytes,
    job_homes_memory_bytes,
    partition_owners_memory_bytes,
)

#: A request and its reply.
MESSAGES_PER_REQUEST: Final = 2
#: Nodes of the region that own partitions in the run that ``cpu_s_per_start``
#: is from.
MEASURED_OWNER_NODES: Final = 2


@final
class RoleCost(msgspec.Struct, frozen=True):
    """The costs of a role over all nodes; ``cores`` is its processor time."""

    role: str
    messages_per_s: float
    bytes_per_s: float
    cores: float
    memory_bytes: float


def _entry_cost(fleet: Fleet, coefficients: Coefficients) -> RoleCost:
    calls = fleet.calls_per_s
    messages = calls * coefficients.slope('peer_messages_per_call')
    return RoleCost(
        'entry',
        messages,
        calls * coefficients.slope('peer_bytes_per_call'),
        calls * coefficients.slope('cpu_s_per_call')
        + calls * coefficients.slope('cpu_s_http_exchange_both_sides')
        + _peer_message_cores(messages, coefficients),
        0,
    )


def exchanges_per_s(fleet: Fleet, coefficients: Coefficients) -> float:
    """Return the exchanges with workers per second.

    Each start is counted with exchanges of its own, as if no two shared one.
    """
    return fleet.workers * coefficients.slope(
        'exchanges_per_s_per_idle_worker'
    ) + fleet.starts_per_s * coefficients.slope('exchanges_per_single_job')


def renewal_cores(fleet: Fleet, coefficients: Coefficients) -> float:
    """Return the cores that lease renewals use.

    The result is at least what encoding and decoding their messages uses.
    """
    renewals_per_s = coefficients.slope('exchanges_per_s_per_idle_worker')
    return fleet.tasks * max(
        coefficients.slope('cpu_s_per_s_per_running_task'),
        coefficients.slope('cpu_s_renewal_codec_per_task') * renewals_per_s,
    )


def start_cores(fleet: Fleet, coefficients: Coefficients) -> float:
    """Return the cores that task starts use, without socket time.

    Every node that owns partitions of a region makes a decision for each task
    of the region, so the cost of a start grows with the nodes of its region.
    """
    owners = max(fleet.nodes / max(fleet.regions, 1), 1)
    additional_owners = owners - MEASURED_OWNER_NODES
    return fleet.starts_per_s * (
        coefficients.slope('cpu_s_per_start')
        + additional_owners
        * coefficients.slope('cpu_s_per_start_per_owner_node')
    )


def _partition_owner_cost(fleet: Fleet, coefficients: Coefficients) -> RoleCost:
    exchanges = exchanges_per_s(fleet, coefficients)
    head_bytes = coefficients.slope('http_head_bytes_per_exchange')
    return RoleCost(
        'partition owner',
        exchanges,
        exchanges * head_bytes
        + fleet.workers * coefficients.slope('sync_bytes_per_s_per_idle_worker')
        + fleet.tasks * coefficients.slope('sync_bytes_per_s_per_running_task')
        + fleet.starts_per_s * coefficients.slope('sync_bytes_per_start'),
        exchanges * coefficients.slope('cpu_s_http_exchange_both_sides')
        + fleet.workers * coefficients.slope('cpu_s_per_s_per_idle_worker')
        + renewal_cores(fleet, coefficients)
        + start_cores(fleet, coefficients),
        partition_owners_memory_bytes(fleet, coefficients),
    )


def _job_home_cost(fleet: Fleet, coefficients: Coefficients) -> RoleCost:
    messages = fleet.starts_per_s * coefficients.slope(
        'peer_messages_per_start'
    ) + fleet.jobs_per_s * coefficients.slope('peer_messages_per_single_job')
    return RoleCost(
        'job home',
        messages,
        fleet.starts_per_s * coefficients.slope('peer_bytes_per_start')
        + fleet.teams * coefficients.slope('peer_bytes_per_s_per_team'),
        fleet.jobs_per_s * coefficients.slope('cpu_s_per_single_job')
        + fleet.teams * coefficients.slope('cpu_s_per_s_per_team')
        + _peer_message_cores(messages, coefficients),
        job_homes_memory_bytes(fleet, coefficients),
    )


def log_bytes_per_s(fleet: Fleet, coefficients: Coefficients) -> float:
    """Return the bytes that are appended to the log per second."""
    return (
        fleet.starts_per_s * coefficients.slope('log_bytes_per_start')
        + fleet.jobs_per_s * coefficients.slope('log_bytes_per_single_job')
        + fleet.config_changes_per_s
        * fleet.teams
        * coefficients.slope('config_bytes_per_team')
    )


def _log_reader_cost(fleet: Fleet, coefficients: Coefficients) -> RoleCost:
    cpu_s_per_change = fleet.teams * coefficients.slope(
        'cpu_s_config_fold_per_team'
    )
    return RoleCost(
        'log reader',
        0,
        fleet.nodes * log_bytes_per_s(fleet, coefficients),
        fleet.nodes * fleet.config_changes_per_s * cpu_s_per_change,
        fleet.nodes * folded_state_memory_bytes(fleet, coefficients),
    )


def _region_relay_cost(fleet: Fleet, coefficients: Coefficients) -> RoleCost:
    other_regions = max(fleet.regions - 1, 0)
    return RoleCost(
        'region relay',
        0,
        other_regions * log_bytes_per_s(fleet, coefficients),
        0,
        0,
    )


def _vm_list_cost(fleet: Fleet, coefficients: Coefficients) -> RoleCost:
    vms = fleet.workers + fleet.nodes
    bytes_per_s_per_vm = coefficients.slope(
        'vm_list_bytes_per_s_per_vm_and_node'
    )
    return RoleCost('VM list', 0, fleet.nodes * vms * bytes_per_s_per_vm, 0, 0)


def _peer_cost(fleet: Fleet, coefficients: Coefficients) -> RoleCost:
    messages = fleet.node_pairs * coefficients.slope(
        'peer_messages_per_s_per_node_pair'
    )
    return RoleCost(
        'peers',
        messages,
        fleet.node_pairs * coefficients.slope('peer_bytes_per_s_per_node_pair'),
        fleet.node_pairs * coefficients.slope('cpu_s_per_s_per_node_pair')
        + _peer_message_cores(messages, coefficients),
        0,
    )


def _peer_message_cores(messages: float, coefficients: Coefficients) -> float:
    cpu_s_per_request = coefficients.slope('cpu_s_peer_ask_both_sides')
    return messages * cpu_s_per_request / MESSAGES_PER_REQUEST


ROLES: Final[tuple[Callable[[Fleet, Coefficients], RoleCost], ...]] = (
    _entry_cost,
    _partition_owner_cost,
    _job_home_cost,
    _log_reader_cost,
    _region_relay_cost,
    _vm_list_cost,
    _peer_cost,
)
