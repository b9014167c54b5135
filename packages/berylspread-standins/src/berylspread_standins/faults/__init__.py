"""Fault kinds for randomised runs, each found by name in ``faults``."""

from berylspread_standins.faults.base import Fault, Node, World, faults
from berylspread_standins.faults.network_faults import (
    MessageLoss,
    NarrowLink,
    OneWayCut,
    RegionCut,
)
from berylspread_standins.faults.node_faults import (
    CancellationWave,
    NodeKill,
    NodePause,
)
from berylspread_standins.faults.platform_faults import (
    LogAnswersLost,
    LogOutage,
    LogSlow,
    RetentionCut,
    VmListDown,
    VmListLag,
    VmListStale,
)
from berylspread_standins.faults.worker_faults import (
    ClockDrift,
    WorkerAnswersLost,
    WorkerDead,
    WorkerFailsAll,
    WorkerLeaving,
    WorkerPause,
    WrongSizes,
    replace_worker,
)

__all__ = (
    'CancellationWave',
    'ClockDrift',
    'Fault',
    'LogAnswersLost',
    'LogOutage',
    'LogSlow',
    'MessageLoss',
    'NarrowLink',
    'Node',
    'NodeKill',
    'NodePause',
    'OneWayCut',
    'RegionCut',
    'RetentionCut',
    'VmListDown',
    'VmListLag',
    'VmListStale',
    'WorkerAnswersLost',
    'WorkerDead',
    'WorkerFailsAll',
    'WorkerLeaving',
    'WorkerPause',
    'World',
    'WrongSizes',
    'faults',
    'replace_worker',
)
