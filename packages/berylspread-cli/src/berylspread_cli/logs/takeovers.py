"""Times the parts of each change of the coordinator."""

from collections.abc import Iterator
from typing import Final, final

import msgspec

from berylspread_cli.logs.lines import LogLine

#: The lines of a coordinator that show that it still decides.
DECISIONS: Final = frozenset(('run-ended', 'job-accepted', 'job-ended'))


@final
class Takeover(msgspec.Struct, frozen=True):
    """A node begins to coordinate.

    The parts are seconds since the former coordinator's last decision, ``None``
    if there is no such line.  ``at`` is seconds since the epoch.
    """

    epoch: int
    node: str
    at: float
    claimed_s: float | None
    loaded_s: float | None
    load_s: float
    first_start_s: float | None
    jobs: int


def find_takeovers(lines: list[LogLine]) -> Iterator[Takeover]:
    """Yield the changes of the coordinator; the lines are in time order."""
    for index, line in enumerate(lines):
        if line.event != 'coordinating':
            continue
        epoch = int(line.fields.get('epoch') or 0)
        claimed_at = _claimed_at(lines[:index], line.node, epoch)
        left_at = _last_decision(lines[:index], line.node, claimed_at)
        yield Takeover(
            epoch,
            line.node,
            line.at,
            _since(left_at, claimed_at),
            _since(left_at, line.at),
            float(line.fields.get('load_s') or 0),
            _since(left_at, _first_start(lines[index:], line.node)),
            int(line.fields.get('jobs') or 0),
        )


def _since(began_at: float | None, moment: float | None) -> float | None:
    if began_at is None or moment is None:
        return None
    return round(moment - began_at, 3)


def _is_decision(line: LogLine) -> bool:
    return line.event in DECISIONS or _is_task_start(line)


def _is_task_start(line: LogLine) -> bool:
    return line.event == 'start' and 'task' in line.fields


def _last_decision(
    lines: list[LogLine], successor: str, claimed_at: float | None
) -> float | None:
    """Return when an earlier coordinator last decided, also the same node."""
    for line in reversed(lines):
        is_earlier = line.node != successor or (
            claimed_at is not None and line.at < claimed_at
        )
        if _is_decision(line) and is_earlier:
            return line.at
    return None


def _claimed_at(lines: list[LogLine], node: str, epoch: int) -> float | None:
    for line in reversed(lines):
        is_claim = line.event == 'claim' and line.fields.get('won')
        if is_claim and line.node == node and line.fields['epoch'] == epoch:
            return line.at
    return None


def _first_start(lines: list[LogLine], node: str) -> float | None:
    return next(
        (
            line.at
            for line in lines
            if line.node == node and _is_task_start(line)
        ),
        None,
    )
