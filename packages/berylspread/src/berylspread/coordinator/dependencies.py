"""What a coordinator uses of its node: clients, policies, clocks and log."""

from collections.abc import Awaitable, Callable
from typing import final

import msgspec

from berylspread.coordinator.claim_history import ClaimHistory
from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.interface import (
    KeyedItem,
    KeyedStore,
    Policies,
    WorkerApi,
    WorkerEntry,
)
from berylspread.coordinator.permits import RequestPermissionsVia
from berylspread.coordinator.worker_bounds import WorkerBounds
from berylspread.kernel.clock import WallClock

DecodeEntry = Callable[[KeyedItem], WorkerEntry | None]


@final
class Topics(msgspec.Struct, frozen=True):
    """The names of the topics in the platform's store."""

    jobs: str
    leader: str
    workers: str
    config: str


@final
class CoordinatorDependencies(msgspec.Struct, frozen=True):
    """The clients, policies, clocks and log that a coordinator uses."""

    store: KeyedStore
    topics: Topics
    workers: WorkerApi
    policies: Policies
    ask_through: RequestPermissionsVia
    decode_entry: DecodeEntry
    wall: WallClock
    log: DecisionLog
    #: Seconds since the authority of the epoch was last confirmed.
    authority_age: Callable[[], float]
    claims: ClaimHistory
    #: Reads which zones are closed, at the beginning of an epoch.
    load_zones: Callable[[], Awaitable[None]]
    worker_bounds: WorkerBounds
    #: The longest record that the store takes.
    record_bytes: int
    #: The name of the policy for too little room.
    contention: str
