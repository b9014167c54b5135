"""Scorers; importing this package registers them."""

from berylspread.placement.scorers.accelerators import SaveAcceleratorsScorer
from berylspread.placement.scorers.best_fit import BestFitScorer
from berylspread.placement.scorers.fragmentation import FragmentationScorer
from berylspread.placement.scorers.health import HealthScorer
from berylspread.placement.scorers.region import RegionAffinityScorer
from berylspread.placement.scorers.spread import SpreadScorer

__all__ = (
    'BestFitScorer',
    'FragmentationScorer',
    'HealthScorer',
    'RegionAffinityScorer',
    'SaveAcceleratorsScorer',
    'SpreadScorer',
)
