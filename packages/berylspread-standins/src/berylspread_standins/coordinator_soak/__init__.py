"""Random overlapping faults on a cell of coordinators in virtual time."""

from berylspread_standins.coordinator_soak.run import (
    Options,
    Result,
    run_seed,
    shrink,
)

__all__ = ('Options', 'Result', 'run_seed', 'shrink')
