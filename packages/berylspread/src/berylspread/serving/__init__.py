"""HTTP servers that run in the event loop of a program."""

from berylspread.listening import listen
from berylspread.serving.embedded_server import EmbeddedServer
from berylspread.serving.guard import ConnectionGuard, RequestTerms
from berylspread.serving.guarded import GuardedProtocol
from berylspread.serving.lingering import LingeringProtocol

__all__ = (
    'ConnectionGuard',
    'EmbeddedServer',
    'GuardedProtocol',
    'LingeringProtocol',
    'RequestTerms',
    'listen',
)
