"""The protocol towards backend servers."""

from berylspread.backend.interface import (
    CallReply,
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
    'CallRequest',
    'SyncReply',
    'SyncRequest',
    'TaskReport',
    'TaskStart',
    'TaskStop',
    'Workers',
)
