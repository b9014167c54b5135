"""The ledgers of the workers' capacity and of the teams' quota."""

from berylspread.limits.capacity import CapacityLedger
from berylspread.limits.errors import BookingExpired, NoCapacity, WorkerBarred
from berylspread.limits.free_index import FreeIndex
from berylspread.limits.idle import IdleTracker
from berylspread.limits.quota import QuotaLedger
from berylspread.limits.slices import CallAllowance
from berylspread.limits.team_quota import CALL_SHAPE, Slice, TeamQuota
from berylspread.limits.workers import (
    UNKNOWN_WORK,
    Barrier,
    BookedWork,
    Booking,
    WorkerView,
)

__all__ = (
    'CALL_SHAPE',
    'UNKNOWN_WORK',
    'Barrier',
    'BookedWork',
    'Booking',
    'BookingExpired',
    'CallAllowance',
    'CapacityLedger',
    'FreeIndex',
    'IdleTracker',
    'NoCapacity',
    'QuotaLedger',
    'Slice',
    'TeamQuota',
    'WorkerBarred',
    'WorkerView',
)
