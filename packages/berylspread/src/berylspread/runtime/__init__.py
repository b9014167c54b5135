"""What the roles of one node share, periodic tasks, and the whole node."""

from berylspread.runtime.context import NodeContext
from berylspread.runtime.loops import run_periodically

__all__ = ('NodeContext', 'run_periodically')
