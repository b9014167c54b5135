"""Stand-ins for a platform with a keyed store and workers that hold leases."""

from berylspread_standins.coordinated.advisor import PermissionServiceStandin
from berylspread_standins.coordinated.fleet import CoordinatedFleet
from berylspread_standins.coordinated.store import StoreStandin, StoreView
from berylspread_standins.coordinated.worker import WorkerStandin

__all__ = (
    'CoordinatedFleet',
    'PermissionServiceStandin',
    'StoreStandin',
    'StoreView',
    'WorkerStandin',
)
