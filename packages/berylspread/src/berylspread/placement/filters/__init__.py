"""Filters; importing this package registers them."""

from berylspread.placement.filters.accelerators import AcceleratorFilter
from berylspread.placement.filters.avoid import AvoidedWorkerFilter
from berylspread.placement.filters.barriers import DrainFilter, QuarantineFilter
from berylspread.placement.filters.earmark import EarmarkFilter
from berylspread.placement.filters.fits import ResourceFilter
from berylspread.placement.filters.health import HealthFilter
from berylspread.placement.filters.location import RegionFilter, ZoneFilter

__all__ = (
    'AcceleratorFilter',
    'AvoidedWorkerFilter',
    'DrainFilter',
    'EarmarkFilter',
    'HealthFilter',
    'QuarantineFilter',
    'RegionFilter',
    'ResourceFilter',
    'ZoneFilter',
)
