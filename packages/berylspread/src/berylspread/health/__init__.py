"""Health of workers: failure rates, quarantine, probes and drains."""

from berylspread.health.drain import Drain, DrainEvent, DrainState
from berylspread.health.failure_rates import ClassRecord, FailureRate
from berylspread.health.monitor import HealthMonitor
from berylspread.health.quarantine import Quarantine

__all__ = (
    'ClassRecord',
    'Drain',
    'DrainEvent',
    'DrainState',
    'FailureRate',
    'HealthMonitor',
    'Quarantine',
)
