"""States in a sentence why a request or job came to its outcome.

Each rule is registered for the event that decides; the last of these events
counts, in the order of the registration.
"""

import collections
from collections.abc import Callable
from typing import Final

from berylspread_cli.logs.lines import LogLine

Rule = Callable[[LogLine, list[LogLine]], str]

RULES: Final[dict[str, Rule]] = {}

MS_PER_S: Final = 1000


def rule(event: str) -> Callable[[Rule], Rule]:
    """Register the rule for an event; a decorator."""

    def register(function: Rule) -> Rule:
        RULES[event] = function
        return function

    return register


def explain(lines: list[LogLine]) -> str:
    """Return the cause of the outcome that the lines on one id show."""
    for event, function in RULES.items():
        for line in reversed(lines):
            if line.event == event:
                return function(line, lines)
    return f'The last of {len(lines)} lines is {lines[-1].event!r}.'


@rule('job-ended')
def ended(line: LogLine, lines: list[LogLine]) -> str:
    """Explain the end of a job."""
    status = line.fields.get('status')
    took_ms = line.fields.get('took_ms') or 0
    late = ''
    objective_ms = _field(lines, 'job-accepted', 'objective_ms')
    if objective_ms is not None and took_ms > objective_ms:
        late = f', {_seconds(took_ms - objective_ms)} late'
    text = f'The job is {status} after {_seconds(took_ms)}{late}'
    if status == 'failed':
        return f'{text}: {_attempts(line, lines)}.'
    if status == 'cancelled' and not _tasks_started(lines):
        return f'{text}, before a task was started{_waiting(lines)}.'
    return f'{text}{_waiting(lines)}{_interrupted(lines)}.'


@rule('job-accepted')
def accepted(line: LogLine, lines: list[LogLine]) -> str:
    """Explain why a job that was accepted has no end yet."""
    started = _tasks_started(lines)
    text = (
        f'The job was accepted and {started} tasks were started'
        if started
        else 'The job was accepted and no task was started'
    )
    return f'{text}; no line tells its end{_waiting(lines)}.'


@rule('unanswered')
def unanswered(line: LogLine, lines: list[LogLine]) -> str:
    """Explain a request that got no answer of a coordinator."""
    waited_s = line.fields.get('waited_s') or 0
    known = 'it may have run' if line.fields.get('may_have_run') else 'not run'
    return (
        f'No coordinator answered {line.node} within {waited_s:g} s'
        f' ({known}): {line.fields.get("reason")}.'
    )


@rule('refused')
def refused(line: LogLine, lines: list[LogLine]) -> str:
    """Explain a request that was refused."""
    return (
        f'{line.node} refused it with {line.fields.get("status")}:'
        f' {line.fields.get("reason")}.'
    )


def _field(lines: list[LogLine], event: str, name: str) -> float | None:
    for line in lines:
        if line.event == event:
            found = line.fields.get(name)
            return found if isinstance(found, int | float) else None
    return None


def _tasks_started(lines: list[LogLine]) -> int:
    return len(
        {
            line.fields['task']
            for line in lines
            if line.event == 'start' and 'task' in line.fields
        }
    )


def _waiting(lines: list[LogLine]) -> str:
    blocked = collections.Counter(
        str(line.fields.get('blocked_by'))
        for line in lines
        if line.event == 'step-waits'
    )
    if not blocked:
        return ''
    reason, _ = blocked.most_common(1)[0]
    return f'; it waited mostly for: {reason}'


def _attempts(line: LogLine, lines: list[LogLine]) -> str:
    cause = str(line.fields.get('cause'))
    task = cause.partition(' ')[0]
    # A successor may be told again of an end that was not stored.
    workers = {
        each.fields.get('run'): str(each.fields.get('worker'))
        for each in lines
        if each.event == 'run-ended'
        and each.fields.get('task') == task
        and each.fields.get('outcome') == 'failed'
    }
    return f'{cause} on {", ".join(workers.values())}' if workers else cause


def _interrupted(lines: list[LogLine]) -> str:
    lost = {
        (line.fields.get('task'), line.fields.get('run')): str(
            line.fields.get('reason')
        )
        for line in lines
        if line.event == 'run-lost'
    }
    reasons = collections.Counter(lost.values())
    parts = [f'{count} {reason}' for reason, count in reasons.most_common()]
    return f'; runs lost: {", ".join(parts)}' if parts else ''


def _seconds(duration_ms: float) -> str:
    return f'{duration_ms / MS_PER_S:.3f} s'
