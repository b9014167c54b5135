"""What a node is given from outside: clients, policies, clocks and limits."""

from collections.abc import Callable
from typing import final

from berylspread.coordinator.config_feed import DecodeConfig
from berylspread.coordinator.contention import DEFAULT_POLICY
from berylspread.coordinator.dependencies import DecodeEntry
from berylspread.coordinator.interface import (
    KeyedStore,
    PermissionService,
    WorkerApi,
)
from berylspread.coordinator.job_room import DEFAULT_JOB_BYTES
from berylspread.coordinator.policy import PolicyCache
from berylspread.coordinator.records import DEFAULT_RECORD_BYTES
from berylspread.coordinator.worker_bounds import WorkerBounds
from berylspread.kernel.clock import WallClock


@final
class Clients:
    """The clients of external services, the policies and the clocks."""

    __slots__ = (
        'authority_clock',
        'contention',
        'decode_config',
        'decode_entry',
        'job_bytes',
        'permission_service',
        'policies',
        'record_bytes',
        'store',
        'wall_clock',
        'worker_api',
        'worker_bounds',
    )

    def __init__(
        self,
        store: KeyedStore,
        worker_api: WorkerApi,
        permission_service: PermissionService,
        policies: PolicyCache,
        decode_entry: DecodeEntry,
        decode_config: DecodeConfig,
        *,
        wall_clock: WallClock,
        authority_clock: Callable[[], float],
        record_bytes: int = DEFAULT_RECORD_BYTES,
    ) -> None:
        """Set the clients and the clocks.

        ``authority_clock`` returns seconds and counts the time for which the
        VM was suspended.
        """
        self.store = store
        self.worker_api = worker_api
        self.permission_service = permission_service
        self.policies = policies
        self.decode_entry = decode_entry
        self.decode_config = decode_config
        self.wall_clock = wall_clock
        self.authority_clock = authority_clock
        self.record_bytes = record_bytes
        #: What a coordinator's jobs may take of the VM's memory.
        self.job_bytes = DEFAULT_JOB_BYTES
        self.worker_bounds = WorkerBounds()
        #: The name of the policy for too little room.
        self.contention = DEFAULT_POLICY
