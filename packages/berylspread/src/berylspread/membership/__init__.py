"""Membership: the live list and peers' heartbeats."""

from berylspread.membership.interface import (
    Liveness,
    Member,
    Membership,
    VmDirectory,
)

__all__ = (
    'Liveness',
    'Member',
    'Membership',
    'VmDirectory',
)
