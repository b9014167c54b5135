"""HTTP servers that run in the event loop of a program."""

from berylspread.listening import listen
from berylspread.serving.embedded_server import EmbeddedServer
from berylspread.serving.lingering import LingeringProtocol

__all__ = ('EmbeddedServer', 'LingeringProtocol', 'listen')
