"""Estimates the load of a fleet on the entry VMs from measured coefficients."""

from berylspread.capacity.coefficients import Coefficients, load_coefficients
from berylspread.capacity.estimate import (
    USABLE_CORE_SHARE,
    Estimate,
    estimate,
)
from berylspread.capacity.fleet import Fleet
from berylspread.capacity.roles import RoleCost

__all__ = (
    'USABLE_CORE_SHARE',
    'Coefficients',
    'Estimate',
    'Fleet',
    'RoleCost',
    'estimate',
    'load_coefficients',
)
