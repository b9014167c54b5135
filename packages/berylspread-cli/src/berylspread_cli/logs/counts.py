"""Counts what happened in each second of a day."""

import collections
import math
from collections.abc import Callable, Iterable
from typing import Any, Final, final

from berylspread_cli.logs.lines import LogLine

MS_PER_S: Final = 1000
UNKNOWN: Final = '-'

Series = dict[str, collections.Counter[int]]
Rule = Callable[['Counts', LogLine, int], None]

RULES: Final[dict[str, Rule]] = {}


def counted(*events: str) -> Callable[[Rule], Rule]:
    """Register how lines of some events are counted; a decorator."""

    def register(function: Rule) -> Rule:
        RULES.update(dict.fromkeys(events, function))
        return function

    return register


@final
class Counts:
    """Counts by second since the first line, by queue and by organisation.

    ``jobs`` gives the queue, the organisation and the objective of each job.
    """

    __slots__ = (
        'began_at',
        'coordinators',
        'jobs',
        'marks',
        'series',
        'unhealthy',
        'waits_ms',
    )

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.jobs: dict[str, tuple[str, str, float | None]] = {}
        #: Counts by second, by title of the chart and name of the series.
        self.series: dict[str, Series] = collections.defaultdict(
            lambda: collections.defaultdict(collections.Counter)
        )
        #: Times from acceptance to start in ms, by second.
        self.waits_ms: dict[int, list[float]] = collections.defaultdict(list)
        #: When nodes began to coordinate: second, node and epoch.
        self.coordinators: list[tuple[float, str, int]] = []
        #: Dependencies lost and regained, and starts and stops of nodes.
        self.marks: list[tuple[float, str]] = []
        #: Unhealthy workers: worker, since when and until when.
        self.unhealthy: list[tuple[str, float, float]] = []

    def seconds(self, line: LogLine) -> float:
        """Return the time of a line since the first one."""
        return line.at - self.began_at

    def add(self, title: str, name: object, second: int) -> None:
        """Count one event."""
        self.series[title][str(name)][second] += 1

    def add_job(self, title: str, job: str, second: int) -> None:
        """Count one event by the queue and by the organisation of a job."""
        queue, tenant, _ = self.jobs.get(job, (UNKNOWN, UNKNOWN, None))
        self.add(f'{title} by queue', queue, second)
        self.add(f'{title} by organisation', tenant, second)


def count_lines(lines: Iterable[LogLine]) -> Counts:
    """Return the counts of lines in the order of time."""
    lines = list(lines)
    counts = Counts(lines[0].at if lines else 0)
    for line in lines:
        rule = RULES.get(line.event)
        if rule is not None:
            rule(counts, line, math.floor(counts.seconds(line)))
    return counts


@counted('job-accepted')
def _count_accepted(counts: Counts, line: LogLine, second: int) -> None:
    job = str(line.fields.get('job'))
    counts.jobs[job] = (
        str(line.fields.get('queue')),
        str(line.fields.get('tenant')),
        _number(line.fields.get('objective_ms')),
    )
    counts.add_job('Jobs accepted', job, second)


@counted('job-ended')
def _count_ended(counts: Counts, line: LogLine, second: int) -> None:
    job = str(line.fields.get('job'))
    counts.add('Jobs ended by status', line.fields.get('status'), second)
    _, _, objective_ms = counts.jobs.get(job, (UNKNOWN, UNKNOWN, None))
    took_ms = _number(line.fields.get('took_ms'))
    if objective_ms and took_ms and took_ms > objective_ms:
        counts.add_job('Jobs ended late', job, second)


@counted('start')
def _count_start(counts: Counts, line: LogLine, second: int) -> None:
    task = line.fields.get('task')
    if task is None:
        counts.marks.append((counts.seconds(line), f'{line.node} starts'))
        return
    counts.add_job('Runs started', str(task).partition('.')[0], second)
    waited_ms = _number(line.fields.get('waited_ms'))
    if waited_ms is not None:
        counts.waits_ms[second].append(waited_ms)


@counted('refused')
def _count_refused(counts: Counts, line: LogLine, second: int) -> None:
    fields = line.fields
    address, _, _ = str(fields.get('path')).rpartition('/')
    counts.add('Requests refused by failure', fields.get('failure'), second)
    counts.add('Requests refused by address', f'{address}/', second)


@counted('coordinating')
def _note_coordinator(counts: Counts, line: LogLine, second: int) -> None:
    counts.coordinators.append(
        (
            counts.seconds(line),
            line.node,
            int(line.fields.get('epoch') or 0),
        )
    )


@counted('worker-sick')
def _note_unhealthy(counts: Counts, line: LogLine, second: int) -> None:
    since = counts.seconds(line)
    lasts_s = _number(line.fields.get('for_s')) or 0
    counts.unhealthy.append(
        (str(line.fields.get('worker')), since, since + lasts_s)
    )


@counted(
    'topic-lost', 'topic-regained', 'worker-unreachable', 'leader-lost', 'stop'
)
def _note_mark(counts: Counts, line: LogLine, second: int) -> None:
    subject = line.fields.get('topic') or line.fields.get('worker') or line.node
    counts.marks.append((counts.seconds(line), f'{line.event}: {subject}'))


def _number(value: Any) -> float | None:
    return value if isinstance(value, int | float) else None
