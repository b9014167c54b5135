"""The platform's log: records, client, appender, reader and folded state."""

from berylspread.log.appender import (
    AppendCounts,
    Appender,
    AppenderSettings,
)
from berylspread.log.interface import Entry, LogStore, Page
from berylspread.log.records import (
    AllotmentMoved,
    Batch,
    Claim,
    ConfigApplied,
    ElectorateChanged,
    JobAccepted,
    JobCancelled,
    JobEnded,
    KeyCreated,
    KeyWithdrawn,
    Record,
    Release,
    SnapshotPart,
    TasksEnded,
    TasksStarted,
    decode_batch,
    encode_batch,
)
from berylspread.log.state import (
    ClusterState,
    StateWire,
    decode_state,
    encode_state,
)

__all__ = (
    'AllotmentMoved',
    'AppendCounts',
    'Appender',
    'AppenderSettings',
    'Batch',
    'Claim',
    'ClusterState',
    'ConfigApplied',
    'ElectorateChanged',
    'Entry',
    'JobAccepted',
    'JobCancelled',
    'JobEnded',
    'KeyCreated',
    'KeyWithdrawn',
    'LogStore',
    'Page',
    'Record',
    'Release',
    'SnapshotPart',
    'StateWire',
    'TasksEnded',
    'TasksStarted',
    'decode_batch',
    'decode_state',
    'encode_batch',
    'encode_state',
)
