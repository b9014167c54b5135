"""Tells jobs that could never run, before they are accepted."""

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
    """Return what would keep a job from ever running, or ``None``.

    A document without worker classes leaves the shape unchecked.
    """
    obstacles = (check(context, spec) for check in CHECKS)
    return next((found for found in obstacles if found is not None), None)


def _check_location(context: NodeContext, spec: JobSpec) -> Failure | None:
    document = context.document
    constraints = spec.constraints
    places = (
        ('region', constraints.region, document.regions),
        ('zone', constraints.zone, document.sections_by_label(ZoneSection)),
    )
    for kind, name, known in places:
        if name and known and name not in known:
            return UnknownName(
                f'no {kind} is called {name!r}',
                kind=kind,
                key=name,
                nearest=nearest(name, known),
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
        f'no worker class holds a task: {dimension}',
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
    most = workers * max(spec.shape.fit_count(capacity) for capacity in classes)
    if spec.tasks <= most:
        return None
    return Unplaceable(
        f'the fleet holds at most {most} such tasks at one time',
        dimension='tasks',
        asked=spec.tasks,
        largest=most,
    )


def _check_team_limit(context: NodeContext, spec: JobSpec) -> Failure | None:
    team = context.document.team(spec.team)
    if team is None:
        return None
    limit = team.limit()
    together = spec.tasks if spec.kind is JobKind.gang else 1
    asked = spec.shape * together
    dimension = _exceeded_dimension(asked, limit)
    if dimension is None:
        return None
    return Unplaceable(
        f"the job needs more {dimension} at once than the team's limit",
        dimension=dimension,
        asked=getattr(asked, dimension),
        largest=getattr(limit, dimension),
        team=spec.team,
    )


def _exceeded_dimension(asked: Resources, limit: Resources) -> str | None:
    return next(
        (
            name
            for name in DIMENSIONS
            if getattr(limit, name)
            and getattr(asked, name) > getattr(limit, name)
        ),
        None,
    )


def _misfit_dimension(shape: Resources, classes: Iterable[Resources]) -> str:
    """Return the dimension that no class holds, or the first that one lacks."""
    misfits = [shape.misfit_dimension(capacity) or '' for capacity in classes]
    everywhere = next(
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
    return everywhere or misfits[0]


CHECKS: Final = (_check_location, _check_shape, _check_team_limit)
