"""Why a class waits, for operators: workers rejected per filter."""

import collections
from collections.abc import Iterable
from typing import final

import msgspec

from berylspread.limits import Barrier, WorkerView
from berylspread.placement.demand import DemandClass
from berylspread.placement.pipeline import Pipeline


@final
class Explanation(msgspec.Struct, frozen=True):
    """What stands between a class and the workers of one owner.

    ``reasons`` counts, per filter or barrier, the workers that it rejects
    first; for a lack of room it is ``fits:`` and the dimension.
    """

    class_id: str
    workers: int
    admitted: int
    reasons: dict[str, int]


def explain(
    pipeline: Pipeline, demand: DemandClass, workers: Iterable[WorkerView]
) -> Explanation:
    """Run the filters over all workers; too slow for a decision."""
    reasons: collections.Counter[str] = collections.Counter()
    open_workers: list[WorkerView] = []
    total = 0
    for worker in workers:
        total += 1
        closed = _rejection_reason(demand, worker)
        if closed is None:
            open_workers.append(worker)
        else:
            reasons[closed] += 1
    admitted, rejected = pipeline.apply_filters(demand, open_workers)
    reasons.update(rejected)
    return Explanation(demand.class_id, total, len(admitted), dict(reasons))


def _rejection_reason(demand: DemandClass, worker: WorkerView) -> str | None:
    for barrier in Barrier:
        if barrier in worker.barriers:
            return barrier.value
    short = demand.shape.misfit(worker.free)
    return None if short is None else f'fits:{short}'
