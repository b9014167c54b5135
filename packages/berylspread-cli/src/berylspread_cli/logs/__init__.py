"""What the log lines of many processes tell about a request or a day."""

from berylspread_cli.logs.counts import Counts, count_lines
from berylspread_cli.logs.lines import LogLine, LogReader
from berylspread_cli.logs.takeovers import Takeover, find_takeovers
from berylspread_cli.logs.trail import Trail, find_trail

__all__ = (
    'Counts',
    'LogLine',
    'LogReader',
    'Takeover',
    'Trail',
    'count_lines',
    'find_takeovers',
    'find_trail',
)
