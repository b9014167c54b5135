"""The check of whether a job can run at all, when it is submitted."""

from collections.abc import Iterable
from typing import final

from berylspread.kernel.errors import Unplaceable
from berylspread.model import (
    DIMENSIONS,
    ZERO,
    Constraints,
    JobKind,
    Resources,
    Vm,
)

COMBINATION = 'combination'
TASKS = 'tasks'
LIMIT = 'limit'


@final
class WorkerCapacity:
    """A worker on the VM list and the capacity that it last reported."""

    __slots__ = ('capacity', 'vm')

    def __init__(self, vm: Vm, capacity: Resources) -> None:
        self.vm = vm
        self.capacity = capacity


def check_feasibility(
    shape: Resources,
    constraints: Constraints,
    workers: Iterable[WorkerCapacity],
    *,
    kind: JobKind = JobKind.batch,
    tasks: int = 1,
    limit: Resources = ZERO,
) -> Unplaceable | None:
    """Return an error if the work can never run on the workers, else ``None``.

    The error names the dimension that fails.  A dimension of ``limit`` that is
    0 is unlimited.  Without any known worker no constraint is refused, since a
    node that has just started knows none.
    """
    together = tasks if kind is JobKind.gang else 1
    over = _over_limit(shape * together, limit)
    if over is not None:
        return _unplaceable(
            f'{LIMIT}:{over}', 'the job exceeds the limit of the team'
        )
    known = list(workers)
    allowed = [worker for worker in known if _satisfies(constraints, worker.vm)]
    if not allowed:
        return _unsatisfied_constraint(constraints, known)
    fitting = [worker for worker in allowed if shape.fits(worker.capacity)]
    if not fitting:
        return _unplaceable(
            _exceeded_dimension(shape, allowed), 'no worker has enough capacity'
        )
    places = sum(shape.fit_count(worker.capacity) for worker in fitting)
    if places < together:
        return _unplaceable(
            TASKS, f'at most {places} of {together} tasks run at once'
        )
    return None


def _over_limit(shape: Resources, limit: Resources) -> str | None:
    return next(
        (
            name
            for name in DIMENSIONS
            if 0 < getattr(limit, name) < getattr(shape, name)
        ),
        None,
    )


def _satisfies(constraints: Constraints, vm: Vm) -> bool:
    return (
        constraints.region in {'', vm.region}
        and constraints.zone in {'', vm.zone}
        and vm.vm_id not in constraints.avoid_workers
    )


def _unsatisfied_constraint(
    constraints: Constraints, known: list[WorkerCapacity]
) -> Unplaceable | None:
    if not known:
        return None
    for name in ('region', 'zone'):
        wanted = getattr(constraints, name)
        if wanted and all(
            getattr(worker.vm, name) != wanted for worker in known
        ):
            return _unplaceable(name, f'no worker is in {wanted!r}')
    return _unplaceable('constraints', 'no worker satisfies the constraints')


def _exceeded_dimension(shape: Resources, allowed: list[WorkerCapacity]) -> str:
    largest = Resources(
        *(
            max(getattr(worker.capacity, name) for worker in allowed)
            for name in DIMENSIONS
        )
    )
    return shape.misfit_dimension(largest) or COMBINATION


def _unplaceable(dimension: str, reason: str) -> Unplaceable:
    return Unplaceable(f'{reason} ({dimension})', dimension=dimension)
