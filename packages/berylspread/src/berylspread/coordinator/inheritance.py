"""Takes over the jobs and the runs of earlier coordinators.

Load pattern: tens of thousands of records.  Until they are all read, callers
and workers wait, but the record of the leader is renewed.
"""

from typing import TYPE_CHECKING

from berylspread.coordinator.contacts import NO_CONTACT
from berylspread.coordinator.directory import handle_item
from berylspread.coordinator.fleet import (
    Run,
    Stage,
    Worker,
    placeholder_entry,
)
from berylspread.coordinator.inherited_leases import inherited_lease_s
from berylspread.coordinator.loading import fence_and_read
from berylspread.coordinator.model import Phase, Task
from berylspread.coordinator.restoring import restore_table
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure
from berylspread.kernel.turns import Work, complete_in_turns

if TYPE_CHECKING:
    from berylspread.coordinator.coordinator import Coordinator


async def load_state(coordinator: 'Coordinator') -> Failure | None:
    """Fence the records, and fill a new coordinator from them."""
    started_at = now()
    topic = coordinator.dependencies.topics.workers
    state = await fence_and_read(coordinator.fenced_log, topic)
    if isinstance(state, Failure):
        return state
    orphans = await complete_in_turns(
        restore_table(coordinator.table, state.jobs, coordinator.wall_ms())
    )
    placed = await complete_in_turns(_review_tasks(coordinator))
    for item in state.workers.items:
        handle_item(coordinator.apply_entry, item, topic, coordinator.log)
    await complete_in_turns(_inherit_runs(coordinator, placed))
    coordinator.serve_callers()
    # The topic also holds the configuration, whose transfer would delay the
    # replies to callers.
    loading = coordinator.spawn(coordinator.dependencies.load_zones())
    loading.add_done_callback(lambda _: coordinator.wake.set())
    coordinator.spawn(complete_in_turns(_drop_orphans(coordinator, orphans)))
    coordinator.log.write(
        'coordinating',
        epoch=coordinator.token,
        jobs=len(coordinator.table.jobs),
        runs=len(placed),
        workers=len(coordinator.workers),
        load_s=round(now() - started_at, 3),
    )
    coordinator.wake.set()
    return None


def _review_tasks(coordinator: 'Coordinator') -> Work[list[Task]]:
    """Return the tasks that an earlier coordinator placed.

    Also finds the losses of runs that are stored.
    """
    placed: list[Task] = []

    def visit(task: Task) -> None:
        if task.phase is Phase.placed:
            placed.append(task)
        coordinator.silent_losses.restore_task(task)

    yield from coordinator.table.visit_tasks(visit)
    return [task for task in placed if not task.step.job.status.is_final]


def _inherit_runs(coordinator: 'Coordinator', placed: list[Task]) -> Work[None]:
    """Add the runs of tasks that an earlier coordinator placed."""
    for task in placed:
        worker = coordinator.workers.get(task.worker)
        if worker is None:
            worker = _add_absent_worker(coordinator, task.worker)
        # The wait must not begin before the age is read.
        lease_s = inherited_lease_s(
            coordinator.dependencies.claims,
            coordinator.table.contacts.get(worker.name, NO_CONTACT).epoch,
            coordinator.token,
        )
        worker.former_leases.until = now() + lease_s
        run = Run(task, worker, Stage.inherited, now())
        run.pace_percent = -1
        worker.add_run(run)
        coordinator.tenant_usage.add_task(task)
        yield 1


def _add_absent_worker(coordinator: 'Coordinator', name: str) -> Worker:
    """Add a worker without an entry, which may run behind a network cut."""
    closed_zones = coordinator.dependencies.policies.closed_zones
    worker = Worker(placeholder_entry(name), closed_zones.names)
    worker.is_present = False
    coordinator.start_session(worker)
    return worker


def _drop_orphans(coordinator: 'Coordinator', keys: list[str]) -> Work[None]:
    for key in keys:
        coordinator.committer.drop_key(key)
        yield 1
