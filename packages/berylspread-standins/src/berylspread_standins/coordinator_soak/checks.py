"""What must hold in every run."""

import itertools
from typing import Final, cast

from berylspread_standins.coordinated.fleet import CAPACITY, TASK
from berylspread_standins.coordinated.worker import RunLog
from berylspread_standins.coordinator_soak.cell import Cell

#: Tasks for which a worker has room.
ROOM: Final = CAPACITY.cpu_milli // TASK.cpu_milli


def find_violations(cell: Cell) -> list[str]:
    """Return all violations, the earliest of each check first."""
    return [
        *_find_repeated_runs(cell),
        *_find_crowded_workers(cell),
        *_find_shared_tokens(cell),
    ]


def _find_repeated_runs(cell: Cell) -> list[str]:
    by_task: dict[str, list[RunLog]] = {}
    for log in cell.fleet.runs():
        by_task.setdefault(log.task, []).append(log)
    claims = _find_claims(cell)
    pairs = itertools.chain.from_iterable(
        itertools.combinations(logs, 2) for logs in by_task.values()
    )
    return [
        f'TWICE: {describe(later)} {reason} {describe(earlier)}: '
        f'{_explain(claims, earlier, later)}'
        for earlier, later in pairs
        if (reason := _find_conflict(earlier, later))
    ]


def _find_conflict(earlier: RunLog, later: RunLog) -> str:
    if earlier.ended_at is None or later.started_at < earlier.ended_at:
        return 'while'
    if earlier.outcome == 'done' and earlier.noted_at is not None:
        return 'after the success of'
    return ''


def _find_claims(cell: Cell) -> dict[int, float]:
    """Return when each epoch was claimed."""
    claims = cell.fleet.events('claim')
    return {
        cast('int', line['epoch']): cast('float', line['at'])
        for line in claims
        if line['won']
    }


def _explain(claims: dict[int, float], earlier: RunLog, later: RunLog) -> str:
    """Return what the run of the earlier epoch relied on."""
    old, new = sorted((earlier, later), key=lambda log: log.token)
    if old.token == new.token:
        return 'ordered in one epoch'
    claimed_at = min(
        (at for epoch, at in claims.items() if epoch > old.token),
        default=new.started_at,
    )
    if old.started_at > claimed_at:
        late_s = old.started_at - claimed_at
        return f'started {late_s:.2f} s after the next claim'
    ended_at = new.started_at if old.ended_at is None else old.ended_at
    return f'lasted for {ended_at - claimed_at:.2f} s after the next claim'


def describe(log: RunLog) -> str:
    """Return a run as text."""
    ended = 'running' if log.ended_at is None else f'{log.ended_at:.3f}'
    noted = '' if log.noted_at is None else f' noted {log.noted_at:.3f}'
    return (
        f'[{log.task} run {log.run} on {log.worker} token {log.token}: '
        f'{log.started_at:.3f} to {ended} {log.outcome}{noted}]'
    )


def _find_crowded_workers(cell: Cell) -> list[str]:
    found = []
    for name, worker in cell.fleet.workers.items():
        for log in worker.history:
            beside = sum(
                other.started_at <= log.started_at
                and (other.ended_at is None or other.ended_at > log.started_at)
                for other in worker.history
            )
            if beside > ROOM:
                found.append(
                    f'LIMIT: {beside} tasks on {name} at {log.started_at:.3f}'
                )
    return found


def _find_shared_tokens(cell: Cell) -> list[str]:
    return [
        f'FENCE: token {token} of {sorted(nodes)}'
        for token, nodes in cell.disturbances.tokens.items()
        if len(nodes) > 1
    ]
