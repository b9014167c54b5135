"""The platform's log: records, client, appender, reader and folded state."""

from berylspread.log.appender import (
    AppendCounts,
    Appender,
    AppenderSettings,
)
from berylspread.log.fetched import FetchedPage
from berylspread.log.interface import Entry, LogStore, Page
from berylspread.log.publisher import (
    PublisherSettings,
    SnapshotPublisher,
    publishing_rank,
)
from berylspread.log.reader import LogReader, ReaderSettings, ReaderStatus
from berylspread.log.records import (
    AllotmentMoved,
    Batch,
    Claim,
    ConfigApplied,
    DrainRequested,
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
from berylspread.log.relay import (
    NotRelayed,
    RelayService,
    RelaySettings,
    RelaySource,
)
from berylspread.log.source import LogSource, StoreSource
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
    'DrainRequested',
    'ElectorateChanged',
    'Entry',
    'FetchedPage',
    'JobAccepted',
    'JobCancelled',
    'JobEnded',
    'KeyCreated',
    'KeyWithdrawn',
    'LogReader',
    'LogSource',
    'LogStore',
    'NotRelayed',
    'Page',
    'PublisherSettings',
    'ReaderSettings',
    'ReaderStatus',
    'Record',
    'RelayService',
    'RelaySettings',
    'RelaySource',
    'Release',
    'SnapshotPart',
    'SnapshotPublisher',
    'StateWire',
    'StoreSource',
    'TasksEnded',
    'TasksStarted',
    'decode_batch',
    'decode_state',
    'encode_batch',
    'encode_state',
    'publishing_rank',
)
