"""Compares how two documents treat recorded demand."""

from collections.abc import Iterable, Iterator
from typing import final

import msgspec

from berylspread.config.document import Document
from berylspread.config.sections import WorkerClassSection
from berylspread.model import DIMENSIONS, Resources


@final
class Demand(msgspec.Struct, frozen=True):
    """Recorded demand of one team on one queue.

    ``shape`` is the resources of one task or call, ``peak`` the largest number
    that ran or waited at one time, and ``submitted`` the total number.
    ``team`` is empty for callers without a key.
    """

    team: str
    queue: str
    shape: Resources
    peak: int
    submitted: int


@final
class Admission(msgspec.Struct, frozen=True):
    """Why a queue refuses a team's demand, or empty text if it accepts it.

    ``before`` and ``after`` are the reasons under the two documents.
    """

    team: str
    queue: str
    submitted: int
    before: str
    after: str


@final
class ShareChange(msgspec.Struct, frozen=True):
    """A team's entitled share of the fleet, from 0 to 1."""

    team: str
    before: float
    after: float


@final
class LimitChange(msgspec.Struct, frozen=True):
    """A team's limit and its recorded peak; 0 in a limit means no limit.

    ``exceeded`` names the dimensions in which the peak is above the new limit.
    """

    team: str
    before: Resources
    after: Resources
    peak: Resources
    exceeded: tuple[str, ...]


@final
class Evaluation(msgspec.Struct, frozen=True):
    """Everything that differs between two documents for the same demand."""

    admissions: list[Admission]
    shares: list[ShareChange]
    limits: list[LimitChange]


def evaluate(
    before: Document, after: Document, demand: Iterable[Demand]
) -> Evaluation:
    """Compare two documents on the same recorded demand."""
    recorded = list(demand)
    teams = sorted(before.teams.keys() | after.teams.keys())
    return Evaluation(
        [
            admission
            for entry in recorded
            if (admission := _admission_change(before, after, entry))
            is not None
        ],
        [
            change
            for team in teams
            if (change := _share_change(before, after, team)).before
            != change.after
        ],
        list(_limit_changes(before, after, teams, recorded)),
    )


def refusal_reason(document: Document, demand: Demand) -> str:
    """Return why a document refuses demand, or an empty text."""
    queue = document.queue(demand.queue)
    if queue is None:
        return 'the queue does not exist'
    if not queue.open and demand.team != queue.team:
        return 'the queue belongs to another team'
    if not queue.open and demand.team not in document.teams:
        return 'the team does not exist'
    return _unplaceable_reason(document, demand)


def _admission_change(
    before: Document, after: Document, demand: Demand
) -> Admission | None:
    old, new = refusal_reason(before, demand), refusal_reason(after, demand)
    if old == new:
        return None
    return Admission(demand.team, demand.queue, demand.submitted, old, new)


def _unplaceable_reason(document: Document, demand: Demand) -> str:
    limit = document.team_limit(demand.team)
    for name in DIMENSIONS:
        maximum = getattr(limit, name)
        if maximum and getattr(demand.shape, name) > maximum:
            return f'one task exceeds the limit in {name}'
    classes = document.sections_by_label(WorkerClassSection).values()
    if classes and not any(
        demand.shape.fits(worker.capacity()) for worker in classes
    ):
        return 'no worker class holds one task'
    return ''


def _share_change(before: Document, after: Document, team: str) -> ShareChange:
    return ShareChange(
        team, before.entitled_share(team), after.entitled_share(team)
    )


def _limit_changes(
    before: Document,
    after: Document,
    teams: Iterable[str],
    recorded: list[Demand],
) -> Iterator[LimitChange]:
    for team in teams:
        old, new = before.team_limit(team), after.team_limit(team)
        peak = sum(
            (
                demand.shape * demand.peak
                for demand in recorded
                if demand.team == team
            ),
            start=Resources(),
        )
        exceeded = tuple(
            name
            for name in DIMENSIONS
            if 0 < getattr(new, name) < getattr(peak, name)
        )
        if old != new or exceeded:
            yield LimitChange(team, old, new, peak, exceeded)
