"""HTTP servers within a program's own event loop."""

from berylspread.serving.embedded_server import EmbeddedServer, listen
from berylspread.serving.lingering import LingeringProtocol

__all__ = ('EmbeddedServer', 'LingeringProtocol', 'listen')
