"""Placement plug-ins: orders, filters, scorers and preemption."""

from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import (
    Decision,
    DemandClass,
    GangInfo,
    Rejection,
    TeamUsage,
)
from berylspread.placement.explain import Explanation, explain
from berylspread.placement.feasibility import WorkerCapacity, check_feasibility
from berylspread.placement.pending import DemandQueue, PendingClass
from berylspread.placement.pipeline import Pipeline
from berylspread.placement.policy import PolicySection, default_policy
from berylspread.placement.shares import DecayedUsage, ShareTable

__all__ = (
    'DecayedUsage',
    'Decision',
    'DemandClass',
    'DemandQueue',
    'Explanation',
    'GangInfo',
    'PendingClass',
    'Pipeline',
    'PlacementContext',
    'PolicySection',
    'Rejection',
    'ShareTable',
    'TeamUsage',
    'WorkerCapacity',
    'check_feasibility',
    'default_policy',
    'explain',
)
