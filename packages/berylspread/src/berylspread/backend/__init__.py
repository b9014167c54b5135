"""The protocol towards backend servers."""

from berylspread.backend.interface import (
    BackendClient,
    CallReply,
    CallReport,
    CallRequest,
    SyncReply,
    SyncRequest,
    TaskReport,
    TaskStart,
    TaskStop,
)

__all__ = (
    'BackendClient',
    'CallReply',
    'CallReport',
    'CallRequest',
    'SyncReply',
    'SyncRequest',
    'TaskReport',
    'TaskStart',
    'TaskStop',
)
