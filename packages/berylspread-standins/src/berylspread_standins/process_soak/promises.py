"""What callers and workers must never have seen."""

import collections
from collections.abc import Iterator
from typing import Final

from berylspread_standins.coordinated.worker import RunLog
from berylspread_standins.process_soak.callers import Handed
from berylspread_standins.process_soak.fleet import (
    EVACUATE_S,
    MAX_ATTEMPTS,
    ROOM,
    ProcessFleet,
)

#: Starts of a cancelled job may come this long after its acknowledgement.
CANCEL_S: Final = 3.0
#: How long a version may be in force after the next is published.
CONFIG_APPLY_S: Final = 2.5
#: How long an order that it allowed may be on its way.
ORDER_S: Final = 1.8
DONE: Final = 'done'
FAILED: Final = 'failed'
CRASHED: Final = 'crashed'
#: A task that crashes its workers is started at most this often: twice more
#: after three workers have crashed under it.
MAX_CRASHES: Final = 5
#: A task may be given up after this many crashes.
MIN_CRASHES: Final = 2
#: A job that is no longer known.
GONE: Final = '410'
NEVER: Final = float('inf')


def broken_promises(fleet: ProcessFleet, jobs: list[Handed]) -> list[str]:
    """Return a line for each broken promise, as seen from outside."""
    runs: dict[str, list[RunLog]] = collections.defaultdict(list)
    for worker in fleet.workers.values():
        for log in worker.history:
            runs[log.task].append(log)
    for logs in runs.values():
        logs.sort(key=_starts)
    by_job: dict[str, list[str]] = collections.defaultdict(list)
    for task in runs:
        by_job[task.split('.', 1)[0]].append(task)
    known = {job.job_id: job for job in jobs}
    return [
        *(line for logs in runs.values() for line in _task(fleet, logs)),
        *(line for logs in runs.values() for line in _routes(fleet, logs)),
        *(line for logs in runs.values() for line in _zones(fleet, logs)),
        *(line for task in fleet.crashing for line in _crashes(runs, task)),
        *(line for job in jobs for line in _job(job, by_job, runs)),
        *(line for job in jobs for line in _gang(fleet, job, by_job, runs)),
        *(line for name in fleet.workers for line in _worker(fleet, name)),
        *(f'unasked: {job_id}' for job_id in by_job.keys() - known.keys()),
    ]


def _task(fleet: ProcessFleet, logs: list[RunLog]) -> Iterator[str]:
    done: RunLog | None = None
    last: RunLog | None = None
    for number, log in enumerate(logs):
        what = f'{log.task} run {log.run} on {log.worker}'
        if last is not None and _ends(last) > log.started_at:
            yield f'twice at a time: {what}'
        if done is not None and not _is_forgotten(fleet, done, log):
            yield f'again after success: {what}'
        if _is_given_up(fleet, logs[:number], log):
            yield f'beyond its attempts: {what}'
        done = log if log.outcome == DONE else done
        last = log


def _is_given_up(
    fleet: ProcessFleet, earlier: list[RunLog], later: RunLog
) -> bool:
    """Return whether the failures that must be known allow no later run."""
    known = [
        log
        for log in earlier
        if log.outcome == FAILED and not _is_forgotten(fleet, log, later)
    ]
    return len(known) >= _max_attempts(fleet, later)


def _routes(fleet: ProcessFleet, logs: list[RunLog]) -> Iterator[str]:
    for log in logs:
        if not _may_be_routed(fleet, log):
            yield f'on a service that the queue has left: {log.task} {log.run}'


def _zones(fleet: ProcessFleet, logs: list[RunLog]) -> Iterator[str]:
    for log in logs:
        zone = fleet.workers[log.worker].entry.zone
        if fleet.closures.forbid(zone, log.started_at, EVACUATE_S + ORDER_S):
            yield f'in a closed zone: {log.task} {log.run} on {log.worker}'


def _may_be_routed(fleet: ProcessFleet, log: RunLog) -> bool:
    """Return whether a version that sent the queue there may be in force."""
    service = fleet.workers[log.worker].entry.service
    earliest = log.started_at - CONFIG_APPLY_S - ORDER_S
    ends = [at for _, at in fleet.services[1:]] + [NEVER]
    return any(
        name == service and begun <= log.started_at and ended >= earliest
        for (name, begun), ended in zip(fleet.services, ends, strict=True)
    )


def _crashes(runs: dict[str, list[RunLog]], task: str) -> Iterator[str]:
    crashes = sum(log.outcome == CRASHED for log in runs.get(task, ()))
    if crashes > MAX_CRASHES:
        yield f'beyond its crashes: {task}, {crashes}'


def _max_attempts(fleet: ProcessFleet, log: RunLog) -> float:
    """Return how often a task may fail; a lasting one is always restarted."""
    is_lasting = log.task.partition('.')[0] in fleet.lasting
    return NEVER if is_lasting else MAX_ATTEMPTS


def _is_forgotten(fleet: ProcessFleet, ended: RunLog, later: RunLog) -> bool:
    """Return whether an end need not be known when a later run begins.

    It was lost with its worker's life, or the worker's lease lapsed before the
    end was acknowledged: from then on its runs count as over.
    """
    if ended.is_noted:
        return False
    is_restarted = any(
        worker == ended.worker and at >= _ends(ended)
        for worker, at in fleet.restarts
    ) or any(
        log.outcome == CRASHED and _ends(log) >= _ends(ended)
        for log in fleet.workers[ended.worker].history
    )
    return is_restarted or fleet.workers[ended.worker].has_lapsed(
        _ends(ended), later.started_at
    )


def _ends(log: RunLog) -> float:
    return NEVER if log.ended_at is None else log.ended_at


def _starts(log: RunLog) -> float:
    return log.started_at


def _job(
    job: Handed, by_job: dict[str, list[str]], runs: dict[str, list[RunLog]]
) -> Iterator[str]:
    tasks = by_job.get(job.job_id, [])
    if job.is_refused and tasks:
        yield f'refused and run: {job.job_id}'
    if job.accepted_at is None:
        return
    if GONE in job.states:
        yield f'accepted and unknown: {job.job_id}'
    if not job.is_settled:
        yield f'accepted and not ended: {job.job_id}, {job.state or "?"}'
    if job.state == 'canceled' and not job.tries_cancel:
        yield f'cancelled by nobody: {job.job_id}'
    if job.state == 'failed' and not _may_have_failed(job, tasks, runs):
        yield f'failed without cause: {job.job_id}'
    yield from _cancelled(job, tasks, runs)
    yield from _completed(job, tasks, runs)
    yield from _in_order(job, runs)


def _may_have_failed(
    job: Handed, tasks: list[str], runs: dict[str, list[RunLog]]
) -> bool:
    counts = [
        collections.Counter(log.outcome for log in runs[task]) for task in tasks
    ]
    if any(count[CRASHED] >= MIN_CRASHES for count in counts):
        return True
    if job.is_gang:
        logs = [log for task in tasks for log in runs[task]]
        return len(_failed_runs(logs)) >= MAX_ATTEMPTS
    return any(count[FAILED] >= MAX_ATTEMPTS for count in counts)


def _failed_runs(logs: list[RunLog]) -> set[int]:
    """Return the runs of a gang of which a member has failed."""
    return {log.run for log in logs if log.outcome == FAILED}


def _gang(
    fleet: ProcessFleet,
    job: Handed,
    by_job: dict[str, list[str]],
    runs: dict[str, list[RunLog]],
) -> Iterator[str]:
    if not job.is_gang:
        return
    logs = [log for task in by_job.get(job.job_id, []) for log in runs[task]]
    for run in sorted({log.run for log in logs}):
        first = min((log for log in logs if log.run == run), key=_starts)
        known = [
            log
            for log in logs
            if log.run < run
            and _ends(log) <= first.started_at
            and not _is_forgotten(fleet, log, first)
        ]
        if len(_failed_runs(known)) >= MAX_ATTEMPTS:
            yield f'gang beyond its attempts: {job.job_id} run {run}'


def _cancelled(
    job: Handed, tasks: list[str], runs: dict[str, list[RunLog]]
) -> Iterator[str]:
    if job.cancelled_at is None or job.state != 'canceled':
        return
    for task in tasks:
        if runs[task][-1].started_at > job.cancelled_at + CANCEL_S:
            yield f'started after its cancelling: {task}'


def _completed(
    job: Handed, tasks: list[str], runs: dict[str, list[RunLog]]
) -> Iterator[str]:
    if job.state != 'completed':
        return
    done = {
        task for task in tasks if any(log.outcome == DONE for log in runs[task])
    }
    if len(done) != sum(job.steps):
        yield f'completed with tasks undone: {job.job_id}'


def _in_order(job: Handed, runs: dict[str, list[RunLog]]) -> Iterator[str]:
    for number, width in enumerate(job.steps[:-1]):
        ended = [_done_at(runs[task]) for task in _names(job, number, runs)]
        later = _names(job, number + 1, runs)
        begun = min((runs[task][0].started_at for task in later), default=NEVER)
        is_whole = len(ended) == width and max(ended) <= begun
        if begun < NEVER and not is_whole:
            yield f'out of order: {job.job_id} step {number + 1}'


def _done_at(logs: list[RunLog]) -> float:
    return min(
        (_ends(log) for log in logs if log.outcome == DONE), default=NEVER
    )


def _names(
    job: Handed, number: int, runs: dict[str, list[RunLog]]
) -> list[str]:
    names = (
        f'{job.job_id}.0.{number}.{index}' for index in range(job.steps[number])
    )
    return [name for name in names if name in runs]


def _worker(fleet: ProcessFleet, name: str) -> Iterator[str]:
    changes = sorted(
        change
        for log in fleet.workers[name].history
        for change in ((log.started_at, 1), (_ends(log), -1))
    )
    running = 0
    for _, change in changes:
        running += change
        if running > ROOM:
            yield f'beyond its room: {name}'
            return
