"""Checks, before a job is accepted, whether it could ever run."""

from collections.abc import Iterable
from typing import Final

from berylspread.config import WorkerClassSection, ZoneSection
from berylspread.kernel.errors import Failure, UnknownName, Unplaceable
from berylspread.kernel.registry import nearest
from berylspread.model import (
    DIMENSIONS,
    JobKind,
    JobSpec,
    Resources,
)
from berylspread.runtime import NodeContext


def check_feasibility(context: NodeContext, spec: JobSpec) -> Failure | None:
    """Return why a job could never run, or ``None``.

    If the document has no worker classes, the shape is not checked.
    """
    problems = (check(context, spec) for check in CHECKS)
    return next((problem for problem in problems if problem is not None), None)


def _check_location(context: NodeContext, spec: JobSpec) -> Failure | None:
    document = context.document
    constraints = spec.constraints
    locations = (
        ('region', constraints.region, document.regions),
        ('zone', constraints.zone, document.sections_by_label(ZoneSection)),
    )
    for kind, name, known_names in locations:
        if name and known_names and name not in known_names:
            return UnknownName(
                f'no {kind} is called {name!r}',
                kind=kind,
                key=name,
                nearest=nearest(name, known_names),
            )
    return None


def _check_shape(context: NodeContext, spec: JobSpec) -> Failure | None:
    classes = [
        worker.capacity()
        for worker in context.document.sections_by_label(
            WorkerClassSection
        ).values()
    ]
    if not classes or any(spec.shape.fits(capacity) for capacity in classes):
        return _check_gang_size(context, spec, classes)
    dimension = _misfit_dimension(spec.shape, classes)
    return Unplaceable(
        f'a task fits into no worker class: {dimension}',
        dimension=dimension,
        asked=getattr(spec.shape, dimension),
        largest=max(getattr(capacity, dimension) for capacity in classes),
    )


def _check_gang_size(
    context: NodeContext, spec: JobSpec, classes: list[Resources]
) -> Failure | None:
    workers = len(context.membership.workers())
    if spec.kind is not JobKind.gang or not classes or not workers:
        return None
    max_tasks = workers * max(
        spec.shape.fit_count(capacity) for capacity in classes
    )
    if spec.tasks <= max_tasks:
        return None
    return Unplaceable(
        f'the fleet can run at most {max_tasks} such tasks at the same time',
        dimension='tasks',
        asked=spec.tasks,
        largest=max_tasks,
    )


def _check_team_limit(context: NodeContext, spec: JobSpec) -> Failure | None:
    team = context.document.team(spec.team)
    if team is None:
        return None
    limit = team.limit()
    concurrent_tasks = spec.tasks if spec.kind is JobKind.gang else 1
    requested = spec.shape * concurrent_tasks
    dimension = _exceeded_dimension(requested, limit)
    if dimension is None:
        return None
    return Unplaceable(
        f"the job needs more {dimension} at once than the team's limit",
        dimension=dimension,
        asked=getattr(requested, dimension),
        largest=getattr(limit, dimension),
        team=spec.team,
    )


def _exceeded_dimension(requested: Resources, limit: Resources) -> str | None:
    return next(
        (
            name
            for name in DIMENSIONS
            if getattr(limit, name)
            and getattr(requested, name) > getattr(limit, name)
        ),
        None,
    )


def _misfit_dimension(shape: Resources, classes: Iterable[Resources]) -> str:
    """Return a dimension that exceeds every class.

    If there is none, return the first dimension that exceeds the first class.
    """
    misfits = [shape.misfit_dimension(capacity) or '' for capacity in classes]
    exceeds_all = next(
        (
            name
            for name in DIMENSIONS
            if all(
                getattr(shape, name) > getattr(capacity, name)
                for capacity in classes
            )
        ),
        None,
    )
    return exceeds_all or misfits[0]


CHECKS: Final = (_check_location, _check_shape, _check_team_limit)
