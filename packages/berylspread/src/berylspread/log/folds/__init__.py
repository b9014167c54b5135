"""Folds: each builds one part of the state from the records of the log."""

from berylspread.log.folds.allotments import (
    AllotmentFold,
    AllotmentsWire,
    TeamAllotment,
)
from berylspread.log.folds.base import Context, Fold, handles
from berylspread.log.folds.configs import (
    ConfigFold,
    ConfigsWire,
    DocumentVersion,
)
from berylspread.log.folds.drains import DrainFold, DrainsWire
from berylspread.log.folds.index_set import IndexSet
from berylspread.log.folds.jobs import EndedJob, JobFold, JobState, JobsWire
from berylspread.log.folds.keys import KeyFold, KeysWire, TeamKey
from berylspread.log.folds.units import (
    Electorate,
    UnitClaim,
    UnitFold,
    UnitsWire,
)
from berylspread.log.folds.writers import WriterFold, WritersWire

__all__ = (
    'AllotmentFold',
    'AllotmentsWire',
    'ConfigFold',
    'ConfigsWire',
    'Context',
    'DocumentVersion',
    'DrainFold',
    'DrainsWire',
    'Electorate',
    'EndedJob',
    'Fold',
    'IndexSet',
    'JobFold',
    'JobState',
    'JobsWire',
    'KeyFold',
    'KeysWire',
    'TeamAllotment',
    'TeamKey',
    'UnitClaim',
    'UnitFold',
    'UnitsWire',
    'WriterFold',
    'WritersWire',
    'handles',
)
