"""Reads the JSON lines that nodes write; see ``docs/OPERATIONS.md``."""

import sys
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any, final

import msgspec


@final
class LogLine:
    """A decision or an event: when, on which node, and what it was about.

    ``at`` is in seconds since the epoch, by the node's clock.
    """

    __slots__ = ('at', 'event', 'fields', 'node')

    def __init__(
        self, at: float, node: str, event: str, fields: dict[str, Any]
    ) -> None:
        self.at = at
        self.node = node
        self.event = event
        self.fields = fields


@final
class LogReader:
    """Collects the lines of all nodes, and counts those of other programs."""

    __slots__ = ('lines', 'others')

    def __init__(self) -> None:
        self.lines: list[LogLine] = []
        #: Lines that are not of a node, or not whole.
        self.others = 0

    def read_files(self, names: Sequence[str]) -> None:
        """Read files, without any the standard input; sort by time.

        Raises:
            OSError: A file cannot be read.

        """
        for name in names:
            with Path(name).open(errors='replace') as log:
                self.read_lines(log)
        if not names:
            self.read_lines(sys.stdin)
        self.lines.sort(key=lambda line: line.at)

    def read_lines(self, texts: Iterable[str]) -> None:
        """Read lines; what stands before the JSON object is ignored."""
        for text in texts:
            line = _decode(text)
            if line is not None:
                self.lines.append(line)
            elif text.strip():
                self.others += 1


def _decode(text: str) -> LogLine | None:
    _, brace, rest = text.partition('{')
    try:
        fields = msgspec.json.decode(brace + rest)
    except msgspec.DecodeError:
        return None
    if not isinstance(fields, dict):
        return None
    at, node, event = (
        fields.pop(name, None) for name in ('at', 'node', 'event')
    )
    if isinstance(at, int | float) and node and event:
        return LogLine(float(at), str(node), str(event), fields)
    return None
