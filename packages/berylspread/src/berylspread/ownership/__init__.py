"""Ownership of units: claims, epochs, promises and handover."""

from berylspread.ownership.interface import (
    Ownership,
    Tenure,
    TenureListener,
)
from berylspread.ownership.log_ownership import PROMISE_EXTENSION, LogOwnership
from berylspread.ownership.rules import Terms
from berylspread.ownership.settings import OwnershipSettings
from berylspread.ownership.view import LogAppender, LogView

__all__ = (
    'PROMISE_EXTENSION',
    'LogAppender',
    'LogOwnership',
    'LogView',
    'Ownership',
    'OwnershipSettings',
    'Tenure',
    'TenureListener',
    'Terms',
)
