"""HTTP servers within a program's own event loop."""

from berylspread.serving.lingering import LingeringProtocol
from berylspread.serving.quiet_server import EmbeddedServer, listen

__all__ = ('EmbeddedServer', 'LingeringProtocol', 'listen')
