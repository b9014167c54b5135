"""The protocol between this program and backend servers."""

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
