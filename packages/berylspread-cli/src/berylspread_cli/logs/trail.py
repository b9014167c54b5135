"""Finds the decisions that touched a request, job, step or task."""

from collections.abc import Iterable, Iterator
from typing import Any, Final, final

from berylspread_cli.logs.causes import explain
from berylspread_cli.logs.lines import LogLine

#: Changes of the coordinator, shown between the decisions on a job.
COORDINATION_EVENTS: Final = frozenset(('coordinating', 'leader-lost'))


@final
class Trail:
    """The decisions on one id, in order, and the cause of the outcome.

    ``lines`` also has the changes of the coordinator in the same time.
    """

    __slots__ = ('cause', 'lines')

    def __init__(self, lines: list[LogLine], cause: str) -> None:
        self.lines = lines
        self.cause = cause

    def rows(self) -> Iterator[tuple[LogLine, int]]:
        """Yield the lines; equal successive ones once, with their number."""
        shown: LogLine | None = None
        count = 0
        for line in self.lines:
            if shown is not None and _is_repeat(shown, line):
                count += 1
                continue
            if shown is not None:
                yield shown, count
            shown, count = line, 1
        if shown is not None:
            yield shown, count


def find_trail(lines: Iterable[LogLine], wanted: str) -> Trail | None:
    """Return the trail of an id, ``None`` if no line names it.

    The lines are in the order of time.
    """
    lines = list(lines)
    touched = [line for line in lines if touches(line, wanted)]
    if not touched:
        return None
    first, last = touched[0].at, touched[-1].at
    shown = [
        line
        for line in lines
        if touches(line, wanted)
        or (line.event in COORDINATION_EVENTS and first <= line.at <= last)
    ]
    return Trail(shown, explain(touched))


def touches(line: LogLine, wanted: str) -> bool:
    """Return whether a line is about an id or a part of what it names."""
    return any(_names(value, wanted) for value in line.fields.values())


def _names(value: Any, wanted: str) -> bool:
    if isinstance(value, list):
        return any(_names(each, wanted) for each in value)
    return isinstance(value, str) and (
        value == wanted
        or value.startswith(f'{wanted}.')
        or value.endswith(f'/{wanted}')
    )


def _is_repeat(line: LogLine, other: LogLine) -> bool:
    return (
        line.event == other.event == 'step-waits'
        and line.node == other.node
        and line.fields.get('step') == other.fields.get('step')
        and line.fields.get('blocked_by') == other.fields.get('blocked_by')
    )
