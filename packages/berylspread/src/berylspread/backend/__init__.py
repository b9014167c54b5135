"""The protocol towards backend servers."""

from berylspread.backend.interface import (
    CallReply,
    CallReport,
    CallRequest,
    SyncReply,
    SyncRequest,
    TaskReport,
    TaskStart,
    TaskStop,
    Workers,
)

__all__ = (
    'CallReply',
    'CallReport',
    'CallRequest',
    'SyncReply',
    'SyncRequest',
    'TaskReport',
    'TaskStart',
    'TaskStop',
    'Workers',
)
