"""Logs decisions as JSON lines, with a bounded rate and without blocking."""

import json
import os
import time
from collections.abc import Callable
from typing import Any, Final, final

from berylspread.coordinator.measures import ProcessMetrics

#: Lines a second for each event name; lines beyond it are only counted.
MAX_LINES_PER_S: Final = 200
WINDOW_S: Final = 1.0
STDOUT_FD: Final = 1

Emit = Callable[[bytes], object]


def write_stdout(line: bytes) -> None:
    """Write to standard output; a full pipe raises instead of blocking."""
    os.write(STDOUT_FD, line)


def make_stdout_nonblocking() -> None:
    """Make standard output non-blocking; lines are dropped if it is full."""
    os.set_blocking(STDOUT_FD, False)


@final
class DecisionLog:
    """Writes events as JSON lines.

    Each event name has a budget of lines a second.  Lines beyond the budget and
    lines for which the pipe is full are dropped.  The next line of the same
    event name states their number.
    """

    __slots__ = (
        'dropped',
        'emit',
        'lines_in_window',
        'metrics',
        'node',
        'window_start',
    )

    def __init__(self, node: str, emit: Emit | None = None) -> None:
        """Set the node's name, which is part of every line.

        ``emit`` writes the bytes of a line and raises ``OSError`` if it cannot;
        by default it writes to standard output.
        """
        self.node = node
        self.emit = emit or write_stdout
        self.metrics = ProcessMetrics()
        self.window_start = 0.0
        self.lines_in_window: dict[str, int] = {}
        self.dropped: dict[str, int] = {}

    def write(self, event: str, **fields: Any) -> None:
        """Write one event with the inputs and the result of a decision."""
        self.metrics.events[event] += 1
        moment = time.time()
        if not self._is_within_budget(event, moment):
            self.dropped[event] = self.dropped.get(event, 0) + 1
            return
        line: dict[str, Any] = {'at': round(moment, 3), 'node': self.node}
        line['event'] = event
        line.update(fields)
        missed = self.dropped.pop(event, 0)
        if missed:
            line['dropped'] = missed
        try:
            self.emit(f'{json.dumps(line, default=repr)}\n'.encode())
        except OSError:
            # The pipe is full as its reader is slow; the process must not wait.
            self.dropped[event] = missed + 1

    def _is_within_budget(self, event: str, moment: float) -> bool:
        if moment - self.window_start >= WINDOW_S or moment < self.window_start:
            self.window_start = moment
            self.lines_in_window.clear()
        spent = self.lines_in_window.get(event, 0)
        self.lines_in_window[event] = spent + 1
        return spent < MAX_LINES_PER_S
