"""Checks of a whole document: relations between its sections."""

from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final

from berylspread.config.document import (
    PERCENT,
    Document,
    InvalidDocument,
    read_document,
)
from berylspread.config.sections import (
    DocumentSection,
    OrganisationSection,
    QueueSection,
    RegionSection,
    TeamSection,
    ZoneSection,
)
from berylspread.kernel.errors import InvalidInput
from berylspread.kernel.registry import nearest
from berylspread.model import DIMENSIONS, Resources

#: Shares are written with few digits, so their sum may be slightly inexact.
SHARE_TOLERANCE: Final = 1e-6

DocumentCheck = Callable[[Document], Iterator[InvalidInput]]
_checks: Final[list[DocumentCheck]] = []


def document_check(check: DocumentCheck) -> DocumentCheck:
    """Register a check of whole documents; a decorator."""
    _checks.append(check)
    return check


def parse_document(source: str, text: str) -> Document | InvalidDocument:
    """Return a checked document, or every error that was found in it."""
    errors: list[InvalidInput] = []
    document = read_document(source, text, errors)
    if not document.is_readable:
        return InvalidDocument.from_errors(source, errors)
    for check in _checks:
        errors.extend(check(document))
    return InvalidDocument.from_errors(source, errors) if errors else document


@document_check
def check_references(document: Document) -> Iterator[InvalidInput]:
    """Yield an error for each option that names a missing section."""
    for holder, option, target in _REFERENCES:
        known = document.sections_by_label(target)
        for label, section in document.sections_by_label(holder).items():
            name = getattr(section, option)
            if name and name not in known:
                yield _option_error(
                    document,
                    f'{holder.kind} {label}',
                    option,
                    f'no {target.kind} is called {name!r}',
                    nearest=nearest(name, known),
                )


@document_check
def check_regions(document: Document) -> Iterator[InvalidInput]:
    """Yield an error if no region is defined: limits are split by region."""
    if not document.regions:
        yield _option_error(
            document, 'region', 'weight', 'no region is defined'
        )


@document_check
def check_cycles(document: Document) -> Iterator[InvalidInput]:
    """Yield an error for each organisation that is its own ancestor."""
    for label in document.sections_by_label(OrganisationSection):
        if _is_own_ancestor(document, label):
            yield _option_error(
                document,
                f'organisation {label}',
                'parent',
                'the organisation is its own ancestor',
            )


@document_check
def check_shares(document: Document) -> Iterator[InvalidInput]:
    """Yield an error where the shares of siblings exceed 100 percent."""
    sums: dict[tuple[str, str], float] = {}
    for organisation in document.sections_by_label(
        OrganisationSection
    ).values():
        key = (organisation.parent, 'organisation')
        sums[key] = sums.get(key, 0.0) + (organisation.share or 0.0)
    for team in document.sections_by_label(TeamSection).values():
        key = (team.organisation, 'organisation')
        sums[key] = sums.get(key, 0.0) + (team.share or 0.0)
    for (parent, kind), total in sums.items():
        if total > PERCENT + SHARE_TOLERANCE:
            yield _option_error(
                document,
                f'{kind} {parent}'.strip(),
                'share',
                f'the shares below it add up to {total:g}%',
                allowed='at most 100',
            )


@document_check
def check_queues(document: Document) -> Iterator[InvalidInput]:
    """Yield the errors of queues.

    A queue must either have a team or be open, and its default deadline must
    not exceed its largest one.
    """
    for label, queue in document.sections_by_label(QueueSection).items():
        header = f'queue {label}'
        if bool(queue.team) == queue.open:
            yield _option_error(
                document, header, 'team', 'give either team or open = yes'
            )
        if queue.default_deadline_s > queue.max_deadline_s:
            yield _option_error(
                document,
                header,
                'default_deadline_s',
                'is longer than max_deadline_s',
                allowed=f'at most {queue.max_deadline_s:g}',
            )


def check_usage(
    document: Document, used: Mapping[str, Resources]
) -> list[InvalidInput]:
    """Return an error for each limit that is below the team's present use."""
    errors = []
    for label, amount in sorted(used.items()):
        limit = document.team_limit(label)
        for name in DIMENSIONS:
            maximum = getattr(limit, name)
            running = getattr(amount, name)
            if maximum and running > maximum:
                errors.append(
                    _option_error(
                        document,
                        f'team {label}',
                        LIMIT_OPTIONS[name],
                        f'{running} {name} in use, over the limit of {maximum}',
                        allowed=f'at least {running} {name}',
                    )
                )
    return errors


def check_environment(
    document: Document, environment: str
) -> list[InvalidInput]:
    """Return an error if the document is for another environment."""
    if document.environment == environment:
        return []
    return [
        _option_error(
            document,
            'environment',
            'name',
            f'the document is for {document.environment}',
            allowed=environment,
        )
    ]


def check_change(before: Document, after: Document) -> list[InvalidInput]:
    """Return an error for each change that a running system does not allow.

    With another number of shards, a team would have two homes that both grant
    its limit.  With a shorter lease, a new owner could start a task again
    before the lease that the previous owner renewed has expired.
    """
    errors = []
    shards = before.limits.shards
    if after.limits.shards != shards:
        errors.append(
            _option_error(
                after,
                'limits',
                'shards',
                'the number of shards is fixed by the first document',
                allowed=str(shards),
            )
        )
    lease_s = before.timing.lease_s
    if after.timing.lease_s < lease_s:
        errors.append(
            _option_error(
                after,
                'timing',
                'lease_s',
                'the lease cannot be shortened',
                allowed=f'at least {lease_s:g}',
            )
        )
    return errors


LIMIT_OPTIONS: Final = {
    'cpu_milli': 'limit_cpu',
    'memory_mib': 'limit_memory_gib',
    'accelerators': 'limit_accelerators',
    'slots': 'limit_tasks',
}

_REFERENCES: Final[
    tuple[tuple[type[DocumentSection], str, type[DocumentSection]], ...]
] = (
    (ZoneSection, 'region', RegionSection),
    (OrganisationSection, 'parent', OrganisationSection),
    (TeamSection, 'organisation', OrganisationSection),
    (QueueSection, 'team', TeamSection),
    (QueueSection, 'region', RegionSection),
)


def _is_own_ancestor(document: Document, label: str) -> bool:
    ancestors = document.ancestors(label)
    return ancestors[-1].parent == label


def _option_error(
    document: Document, section: str, option: str, problem: str, **fields: Any
) -> InvalidInput:
    return InvalidInput(
        f'{document.source}: [{section}] {option}: {problem}',
        source=document.source,
        section=section,
        option=option,
        **fields,
    )
