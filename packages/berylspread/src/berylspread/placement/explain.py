"""An explanation for operators of why a class waits."""

import collections
from collections.abc import Iterable
from typing import final

import msgspec

from berylspread.limits import Barrier, WorkerView
from berylspread.placement.demand import DemandClass
from berylspread.placement.pipeline import Pipeline


@final
class Explanation(msgspec.Struct, frozen=True):
    """Why the workers of one owner do not take a class.

    ``reasons`` counts the rejected workers by the first filter or barrier that
    rejects them.  The reason for a lack of room is ``fits:`` followed by the
    dimension.
    """

    class_id: str
    workers: int
    admitted: int
    reasons: dict[str, int]


def explain(
    pipeline: Pipeline, demand: DemandClass, workers: Iterable[WorkerView]
) -> Explanation:
    """Apply the filters to all workers, which is too slow for a decision."""
    reasons: collections.Counter[str] = collections.Counter()
    open_workers: list[WorkerView] = []
    total = 0
    for worker in workers:
        total += 1
        reason = _rejection_reason(demand, worker)
        if reason is None:
            open_workers.append(worker)
        else:
            reasons[reason] += 1
    admitted, rejected = pipeline.apply_filters(demand, open_workers)
    reasons.update(rejected)
    return Explanation(demand.class_id, total, len(admitted), dict(reasons))


def _rejection_reason(demand: DemandClass, worker: WorkerView) -> str | None:
    for barrier in Barrier:
        if barrier in worker.barriers:
            return barrier.value
    dimension = demand.shape.misfit_dimension(worker.free)
    return None if dimension is None else f'fits:{dimension}'
