"""What must hold in every schedule."""

import itertools
from typing import Final

from berylspread_standins.coordinated.worker import RunLog
from berylspread_standins.explorer.world import ROOM, STEPS, Check, World

#: How long after a zone is closed tasks may start there.
EVACUATE_S: Final = 5.0

CHECKS: Final[dict[str, Check]] = {}


def check(function: Check) -> Check:
    """Register a check, which returns the violations in a world."""
    CHECKS[function.__name__] = function
    return function


def find_violations(world: World) -> list[str]:
    """Return all violations, with the name of their check."""
    return [
        f'{name}: {violation}'
        for name, function in CHECKS.items()
        for violation in function(world)
    ]


@check
def epochs_never_go_back(world: World) -> list[str]:
    """Each epoch has one node, and no older one follows it in the store."""
    found = []
    records = world.leader_records()
    for before, after in itertools.pairwise(records):
        if after.epoch < before.epoch:
            found.append(f'epoch {after.epoch} after {before.epoch}')
    owners = {(record.epoch, record.node) for record in records}
    if len(owners) > len({epoch for epoch, _ in owners}):
        found.append(f'two nodes in one epoch: {sorted(owners)}')
    return found


@check
def one_node_a_token(world: World) -> list[str]:
    """Workers get the orders of a token from one node."""
    return [
        f'token {token} of {sorted(nodes)}'
        for token, nodes in world.tokens.nodes.items()
        if len(nodes) > 1
    ]


@check
def no_task_runs_twice(world: World) -> list[str]:
    """No two runs of a task overlap; none begins after a success."""
    return [
        f'{task} runs again at {later.started_at:.3f}'
        for task, runs in world.runs_by_task().items()
        for earlier, later in itertools.pairwise(runs)
        if not _may_follow(world, earlier, later)
    ]


def _may_follow(world: World, earlier: RunLog, later: RunLog) -> bool:
    if earlier.ended_at is None or later.started_at < earlier.ended_at:
        return False
    if earlier.outcome != 'done' or earlier.worker in world.lost_workers:
        return True
    # A success whose worker's lease lapses unacknowledged need not be known.
    worker = world.fleet.workers[earlier.worker]
    return worker.has_lapsed(earlier.ended_at, later.started_at)


@check
def steps_run_in_order(world: World) -> list[str]:
    """A step begins only after all tasks of the step before have succeeded."""
    runs = world.runs_by_task()
    return [
        f'{task} at {logs[0].started_at:.3f}'
        for task, logs in runs.items()
        if task.split('.')[2] != '0'
        and not all(
            _has_succeeded(logs_before, logs[0].started_at)
            for logs_before in _runs_of_first_step(runs, task.split('.')[0])
        )
    ]


def _runs_of_first_step(
    runs: dict[str, list[RunLog]], job_id: str
) -> list[list[RunLog]]:
    return [
        runs.get(f'{job_id}.0.0.{index}', []) for index in range(STEPS[0].count)
    ]


def _has_succeeded(runs: list[RunLog], moment: float) -> bool:
    return any(
        log.outcome == 'done'
        and log.ended_at is not None
        and log.ended_at <= moment
        for log in runs
    )


@check
def no_worker_over_capacity(world: World) -> list[str]:
    """No worker runs more tasks than it has room for."""
    found = []
    for log in world.fleet.runs():
        beside = [
            other
            for other in world.fleet.runs()
            if other.worker == log.worker
            and other.started_at <= log.started_at
            and (other.ended_at is None or other.ended_at > log.started_at)
        ]
        if len(beside) > ROOM:
            found.append(f'{len(beside)} tasks on {log.worker}')
    return found


@check
def nothing_starts_in_closed_zones(world: World) -> list[str]:
    """No run begins in a zone that has been closed for some time."""
    closures, workers = world.fleet.closures, world.fleet.workers
    return [
        f'{log.task} at {log.started_at:.3f} on {log.worker}'
        for log in world.fleet.runs()
        if closures.forbid(
            workers[log.worker].entry.zone, log.started_at, EVACUATE_S
        )
    ]


@check
def accepted_jobs_succeed(world: World) -> list[str]:
    """Every accepted job is known and ends in bounded time.

    It succeeds, unless it is a gang whose every run fails.
    """
    return [
        f'job {job_id} is {world.statuses.get(job_id, "unknown")}'
        for job_id in sorted(world.accepted)
        if world.statuses.get(job_id) != world.expected[job_id]
    ]


@check
def gangs_use_their_attempts(world: World) -> list[str]:
    """A gang fails after its attempts, neither sooner nor later."""
    limit = world.queue().max_attempts
    return [
        f'{len(failed)} failed runs of {step}'
        for step in world.gangs.sizes
        if len(failed := _failed_runs(world, step)) > limit
        or (_has_failed(world, step) and len(failed) < limit)
    ]


def _failed_runs(world: World, step: str) -> set[int]:
    return {
        log.run
        for log in world.fleet.runs()
        if log.task.startswith(f'{step}.') and log.outcome == 'failed'
    }


def _has_failed(world: World, step: str) -> bool:
    return world.statuses.get(step.partition('.')[0]) == 'failed'
