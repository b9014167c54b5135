"""The assembly of a node, the context that its roles share, periodic tasks."""

from berylspread.runtime.context import NodeContext
from berylspread.runtime.loops import run_periodically

__all__ = ('NodeContext', 'run_periodically')
