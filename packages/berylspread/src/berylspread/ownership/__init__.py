"""Ownership: claims, epochs, promises and handover."""

from berylspread.ownership.interface import (
    Ownership,
    Tenure,
    TenureListener,
)

__all__ = (
    'Ownership',
    'Tenure',
    'TenureListener',
)
