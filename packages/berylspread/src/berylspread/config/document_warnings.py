"""Warnings: what a document may say, but is probably a mistake.

A warning is an entry that can never take effect, or limits that contradict
each other.  Each check is registered by a decorator.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Final, final

import msgspec

from berylspread.config.document import PLUGIN_KIND, Document
from berylspread.config.policies import plugin_registries, selected_plugins
from berylspread.config.sections import (
    OrganisationSection,
    QueueSection,
    WorkerClassSection,
    ZoneSection,
)
from berylspread.model import DIMENSIONS, Resources

#: Calls of this kind of queue use up a slot of their team's limit each, and no
#: other resource of it.
CALL_KIND: Final = 'interactive'


@final
class DocumentWarning(msgspec.Struct, frozen=True):
    """Something in a document that is allowed but is probably a mistake."""

    section: str
    reason: str
    option: str = ''


WarningCheck = Callable[[Document], Iterator[DocumentWarning]]
_checks: Final[list[WarningCheck]] = []


def warning_check(check: WarningCheck) -> WarningCheck:
    """Register a check that yields warnings; a decorator."""
    _checks.append(check)
    return check


def find_warnings(document: Document) -> list[DocumentWarning]:
    """Return the warnings of all checks for a document without errors."""
    return [warning for check in _checks for warning in check(document)]


@warning_check
def check_shapes(document: Document) -> Iterator[DocumentWarning]:
    """Yield a warning for each queue whose tasks fit no worker class."""
    classes = [
        worker.capacity()
        for worker in document.sections_by_label(WorkerClassSection).values()
    ]
    for label, queue in document.queues.items():
        if classes and not any(queue.shape().fits(each) for each in classes):
            yield DocumentWarning(
                f'queue {label}',
                'no worker class holds a task:'
                f' {_misfit_names(queue, classes)}',
            )


@warning_check
def check_queue_regions(document: Document) -> Iterator[DocumentWarning]:
    """Yield a warning for each queue in a region without zones."""
    zones = document.sections_by_label(ZoneSection).values()
    populated = {zone.region for zone in zones}
    for label, queue in document.queues.items():
        if populated and queue.region and queue.region not in populated:
            yield DocumentWarning(
                f'queue {label}',
                f'region {queue.region!r} has no zone, so no worker is near',
                'region',
            )


@warning_check
def check_unused_teams(document: Document) -> Iterator[DocumentWarning]:
    """Yield a warning for each team without a queue: its keys open nothing."""
    used = {queue.team for queue in document.queues.values()}
    for label in document.teams:
        if label not in used:
            yield DocumentWarning(
                f'team {label}',
                'no queue belongs to it, so its keys open nothing',
            )


@warning_check
def check_unused_organisations(
    document: Document,
) -> Iterator[DocumentWarning]:
    """Yield a warning for each organisation whose share nobody can use."""
    organisations = document.sections_by_label(OrganisationSection)
    used = {team.organisation for team in document.teams.values()}
    used.update(each.parent for each in organisations.values())
    for label in organisations:
        if label not in used:
            yield DocumentWarning(
                f'organisation {label}', 'no team belongs to it'
            )


@warning_check
def check_unused_plugins(document: Document) -> Iterator[DocumentWarning]:
    """Yield a warning for the options of each plug-in that is not selected."""
    kinds = {
        registry.kind: option for option, registry in plugin_registries.items()
    }
    for label in document.plugins:
        kind, _, name = label.partition(' ')
        if name.strip() not in selected_plugins(document.policy, kinds[kind]):
            yield DocumentWarning(
                f'{PLUGIN_KIND} {label}',
                f'[policy] {kinds[kind]} does not select this plug-in',
            )


@warning_check
def check_team_limits(document: Document) -> Iterator[DocumentWarning]:
    """Yield a warning for each limit that one task of a queue exceeds."""
    for label, queue in document.queues.items():
        limit, task = document.team_limit(queue.team), queue.shape()
        for name in DIMENSIONS:
            maximum, needed = getattr(limit, name), getattr(task, name)
            if queue.work != CALL_KIND and 0 < maximum < needed:
                yield DocumentWarning(
                    f'queue {label}',
                    f'one task needs {needed} {name}, and the team'
                    f' {queue.team!r} is limited to {maximum}',
                )


@warning_check
def check_zero_shares(document: Document) -> Iterator[DocumentWarning]:
    """Yield a warning for each team with queues that is entitled to nothing."""
    used = {queue.team for queue in document.queues.values()}
    for label in document.teams:
        if label in used and not document.entitled_share(label):
            yield DocumentWarning(
                f'team {label}',
                'the team is entitled to nothing: its share or that of an'
                ' organisation above it is 0',
                'share',
            )


def _misfit_names(queue: QueueSection, classes: Iterable[Resources]) -> str:
    dimensions = {
        queue.shape().misfit_dimension(capacity) for capacity in classes
    }
    return ', '.join(sorted(name for name in dimensions if name))
