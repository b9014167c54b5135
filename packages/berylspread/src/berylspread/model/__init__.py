"""Data types that all parts share: resources, VMs and work."""

from berylspread.model.fleet import (
    PARTITION_PREFIX,
    NodeRef,
    Vm,
    VmRole,
    VmState,
    is_partition,
    partition_unit,
    shard_unit,
    unit_region,
)
from berylspread.model.resources import DIMENSIONS, ZERO, Resources
from berylspread.model.work import (
    DEFAULT_PRIORITY,
    TERMINAL_STATES,
    URGENT_PRIORITY,
    Constraints,
    JobKind,
    JobSpec,
    TaskEnd,
    TaskKey,
    TaskState,
)

__all__ = (
    'DEFAULT_PRIORITY',
    'DIMENSIONS',
    'PARTITION_PREFIX',
    'TERMINAL_STATES',
    'URGENT_PRIORITY',
    'ZERO',
    'Constraints',
    'JobKind',
    'JobSpec',
    'NodeRef',
    'Resources',
    'TaskEnd',
    'TaskKey',
    'TaskState',
    'Vm',
    'VmRole',
    'VmState',
    'is_partition',
    'partition_unit',
    'shard_unit',
    'unit_region',
)
