"""What the roles of one node share, and periodic tasks."""

from berylspread.runtime.context import NodeContext
from berylspread.runtime.loops import every

__all__ = ('NodeContext', 'every')
