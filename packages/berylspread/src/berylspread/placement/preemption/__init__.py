"""Preemption policies; importing this package registers them."""

from berylspread.placement.preemption.cheapest import CheapestVictims
from berylspread.placement.preemption.never import NoPreemption

__all__ = ('CheapestVictims', 'NoPreemption')
