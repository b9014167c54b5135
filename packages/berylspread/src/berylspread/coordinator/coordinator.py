"""The coordinator, which decides for the whole fleet during one epoch."""

import asyncio
from typing import Any, Final, final

from berylspread.coordinator.authority import EpochAuthority
from berylspread.coordinator.committer import Committer
from berylspread.coordinator.contacts import UNKNOWN_LIFE, Contact
from berylspread.coordinator.dependencies import CoordinatorDependencies
from berylspread.coordinator.directory import (
    TopicFollower,
)
from berylspread.coordinator.dispatcher import Dispatcher
from berylspread.coordinator.fenced_log import FencedLog
from berylspread.coordinator.fleet import (
    Run,
    Worker,
    find_run,
)
from berylspread.coordinator.health_monitor import WorkerHealthMonitor
from berylspread.coordinator.inheritance import load_state
from berylspread.coordinator.interface import (
    NO_TICKET,
    KeyedItem,
    Outcome,
)
from berylspread.coordinator.model import (
    MS_PER_S,
    TASKS_PER_UNIT,
    Job,
    JobStatus,
    Phase,
    Step,
    Task,
)
from berylspread.coordinator.outcomes import count_use, find_handler
from berylspread.coordinator.pacing import pace_fillers
from berylspread.coordinator.planner import (
    TenantUsage,
)
from berylspread.coordinator.session import Session
from berylspread.coordinator.silent_losses import SilentLosses
from berylspread.coordinator.table import JobTable
from berylspread.coordinator.worker_bounds import WorkerBounds
from berylspread.coordinator.worker_drain import runs_to_move
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure, NotOwner
from berylspread.kernel.turns import Work, complete_in_turns

#: The longest wait for the last changes to be stored before a handover; a reply
#: of a slow store takes 0.3 s.
QUIESCE_TIMEOUT_S: Final = 0.5
QUIESCE_POLL_S: Final = 0.01
#: The pause after entries of workers were read: each worker writes its entry
#: every 1.5 s, mostly without a change.
ENTRIES_PAUSE_S: Final = 0.25
#: Delay before the session with a worker is run again after an exception.
SESSION_RETRY_S: Final = 0.2


@final
class Coordinator:
    """Keeps the jobs and workers of one epoch and carries out decisions."""

    __slots__ = (
        'authority',
        'committer',
        'dependencies',
        'dispatcher',
        'fenced_log',
        'health_monitor',
        'is_loaded',
        'log',
        'sessions',
        'silent_losses',
        'table',
        'tasks',
        'tenant_usage',
        'token',
        'wake',
        'workers',
    )

    def __init__(
        self, dependencies: CoordinatorDependencies, epoch: int
    ) -> None:
        """Create a coordinator that reads and sends nothing before ``run``."""
        self.dependencies = dependencies
        self.log = dependencies.log
        self.token = epoch
        self.is_loaded = False
        self.fenced_log = FencedLog(
            dependencies.store,
            dependencies.topics.jobs,
            epoch,
            dependencies.log,
        )
        self.authority = EpochAuthority(
            self.fenced_log, dependencies.authority_age
        )
        self.committer = Committer(
            self.fenced_log, dependencies.wall, dependencies.record_bytes
        )
        self.table = JobTable(dependencies.policies, dependencies.log)
        self.tenant_usage = TenantUsage(dependencies.policies)
        self.wake = asyncio.Event()
        self.workers: dict[str, Worker] = {}
        self.sessions: dict[str, Session] = {}
        self.dispatcher = Dispatcher(self)
        self.health_monitor = WorkerHealthMonitor(self)
        self.silent_losses = SilentLosses(self)
        self.tasks: set[asyncio.Task[Any]] = set()

    async def run(self) -> Failure:
        """Run until the epoch is over; return the reason."""
        try:
            failure = await load_state(self)
            return await self._serve() if failure is None else failure
        finally:
            self.close()

    def close(self) -> None:
        """End the epoch: cancel all tasks, orders and requests."""
        self.committer.end_epoch(NotOwner('the epoch is over'))
        self.log.metrics.slowness = {}
        for session in self.sessions.values():
            session.orders.close()
        self.dispatcher.permission_requester.close()
        self.dispatcher.zone_evacuation.close()
        for task in list(self.tasks):
            task.cancel()

    async def quiesce(self) -> None:
        """Stop decisions and replies, and wait for changes to be stored."""
        self.is_loaded = False
        ends_at = now() + QUIESCE_TIMEOUT_S
        while self.committer.has_pending_changes() and now() < ends_at:
            await asyncio.sleep(QUIESCE_POLL_S)

    @property
    def worker_bounds(self) -> WorkerBounds:
        """Return what the platform guarantees of the workers."""
        return self.dependencies.worker_bounds

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch."""
        return int(self.dependencies.wall.time() * MS_PER_S)

    # Workers.

    def apply_entry(self, item: KeyedItem) -> None:
        """Apply the newest entry of a worker, or the removal of its entry."""
        if not item.blob:
            known = self.workers.get(item.key)
            if known is not None:
                known.is_present = False
                self.log.write('worker-entry-gone', worker=item.key)
            return
        entry = self.dependencies.decode_entry(item)
        if entry is None:
            return
        self.silent_losses.apply_entry(entry)
        known = self.workers.get(entry.worker)
        if known is None:
            self.start_session(
                Worker(entry, self.dependencies.policies.closed_zones.names)
            )
            return
        if known.entry.is_ready != entry.is_ready:
            known.draining_since = now()
            self.log.write(
                'worker-state',
                worker=entry.worker,
                ready=entry.is_ready,
                remaining_ms=entry.remaining_ms,
            )
        known.update_entry(entry)
        if entry.worker not in self.sessions:
            self.start_session(known)

    def on_report(self, worker: Worker) -> None:
        """Apply the newest report of a worker.

        Checks the worker's health, paces its fillers and, if it leaves, stops
        the runs that would end with it.
        """
        self.dispatcher.holds.note_strays(worker)
        session = self.sessions.get(worker.name)
        if session is None:
            return
        self.health_monitor.review_worker(worker)
        for run, percent in pace_fillers(worker):
            session.orders.set_pace(run, percent)
        if not worker.entry.is_ready:
            for run in runs_to_move(worker):
                session.orders.stop(run, 'drained')
        self.wake.set()

    # Runs.

    def expected_s(self, run: Run) -> float:
        """Return the expected duration of a run in seconds."""
        durations = self.table.durations
        return durations.expected_on(run.task.step.spec, run.worker) / MS_PER_S

    def record_outcome(
        self, run: Run, outcome: Outcome, checkpoint: str
    ) -> asyncio.Future[Failure | None] | None:
        """Record an outcome that a worker listed.

        The future, if any, is done when the change is stored.
        """
        task = run.task
        self._remove_run(run)
        count_use(self, run)
        task.checkpoint = checkpoint or task.checkpoint
        self.log.write(
            'run-ended',
            task=task.name,
            run=run.number,
            worker=run.worker.name,
            outcome=outcome.value,
            ran_s=round(now() - run.since, 3),
        )
        was_done = task.phase is Phase.done
        find_handler(outcome)(self, run)
        # The success of one member of a gang is that of all.
        if task.step.spec.gang and task.phase is Phase.done and not was_done:
            return self.committer.store_step(task.step)
        return self.committer.store_tasks(task.step, (task,))

    def record_lost_run(self, run: Run, reason: str) -> None:
        """Record that a run is over without an outcome, or never started."""
        self._remove_run(run)
        self.log.write(
            'run-lost',
            task=run.task.name,
            run=run.number,
            worker=run.worker.name,
            reason=reason,
            stage=run.stage.value,
            placed_born_ms=run.task.worker_born_ms,
            born_ms=run.worker.born_ms,
        )
        self.requeue(run.task)
        if run.task.step.spec.gang and run.task.phase is Phase.waiting:
            _stop_members(self, run)

    def record_contact(self, worker: Worker) -> asyncio.Future[Failure | None]:
        """Store that this coordinator extends a worker's leases from now on.

        Also stores whether the worker's life is settled, see ``contacts``.  The
        future is done once that is stored.
        """
        contact = Contact(
            self.token, worker.former_leases.settled_born_ms or UNKNOWN_LIFE
        )
        self.table.contacts[worker.name] = contact
        return self.committer.store_contact(worker.name, contact)

    def record_refusal(self, run: Run, cause: str) -> None:
        """Record that a worker refused to start a run."""
        tickets = run.task.step.tickets
        if cause == NO_TICKET and tickets is not None:
            ticket, _ = tickets.by_worker.get(run.worker.name, ('', 0.0))
            tickets.by_worker[run.worker.name] = (ticket, 0.0)
        self.record_lost_run(run, cause)

    def requeue(self, task: Task) -> None:
        """Make a task wait for another run, unless its job has ended."""
        job = task.step.job
        if job.status.is_final or task.phase is Phase.done:
            return
        task.step.requeue(task, is_held=self.silent_losses.is_held(task))
        self.table.ready_steps.add(task.step)
        self.committer.store_tasks(task.step, (task,))
        self.silent_losses.review_task(task)
        self.wake.set()

    def finish_job(self, job: Job, status: JobStatus, cause: str) -> None:
        """End a job, stop its runs and drop the records of its steps."""
        self.table.end_job(job, status, self.wall_ms())
        steps = job.release()
        job.status_stored = self.committer.store_job(job)
        took_ms = self.wall_ms() - job.spec.accepted_ms
        self.log.metrics.observe('job', took_ms / MS_PER_S)
        self.log.write(
            'job-ended',
            job=job.spec.job_id,
            status=status.value,
            cause=cause,
            took_ms=took_ms,
        )
        for worker in self.workers.values():
            for run in list(worker.runs.values()):
                if run.task.step.job is job:
                    self.sessions[worker.name].orders.stop(run, status.value)
        self.spawn(complete_in_turns(self._drop_steps(steps)))

    def _drop_steps(self, steps: list[Step]) -> Work[None]:
        """Drop the tasks and the records of the steps of a job that ended.

        The job's record comes first: its steps would be placed anew without.
        """
        for step in steps:
            self.table.durations.speeds.forget_step(step)
            yield 1 + step.spec.count // TASKS_PER_UNIT
            if any(task.was_placed for task in step.tasks):
                self.committer.drop_step(step)
            step.release()

    def on_step_done(self, step: Step) -> None:
        """Make the steps ready that have waited for this step."""
        self.table.durations.speeds.finish_step(step, now())
        self.table.release_dependents(step, self.wall_ms())
        self.wake.set()

    async def _serve(self) -> Failure:
        directory = TopicFollower(
            self.dependencies.store,
            self.dependencies.topics.workers,
            self.apply_entry,
            self.log,
            pause_after_items_s=ENTRIES_PAUSE_S,
        )
        self.spawn(directory.run())
        done, _ = await asyncio.wait(
            [
                self.spawn(work)
                for work in (
                    self.committer.run(),
                    self.dispatcher.run(),
                    self.dispatcher.run_sweeps(),
                )
            ],
            return_when=asyncio.FIRST_COMPLETED,
        )
        if self.fenced_log.end_failure is not None:
            return self.fenced_log.end_failure
        for task in done:
            task.result()
        return NotOwner('the coordinator has stopped')

    def forget_workers(self) -> None:
        """Remove workers that have left and whose session is over."""
        for name, worker in list(self.workers.items()):
            if not worker.is_present and name not in self.sessions:
                del self.workers[name]
        self.table.durations.speeds.forget_workers(self.workers)
        for name in self.table.contacts.keys() - self.workers.keys():
            del self.table.contacts[name]
            self.committer.drop_contact(name)

    def _remove_run(self, run: Run) -> None:
        run.worker.remove_run(run)
        self.tenant_usage.remove_task(run.task)

    def start_session(self, worker: Worker) -> None:
        """Add a worker; renew its leases once the runs on it are known."""
        self.workers[worker.name] = worker
        contact = self.table.contacts.get(worker.name)
        if contact is not None:
            worker.former_leases.settled_born_ms = contact.settled_born_ms
        session = Session(worker, self.dependencies.workers, self)
        self.sessions[worker.name] = session
        if self.is_loaded:
            self.spawn(self._run_session(session))

    def serve_callers(self) -> None:
        """Begin to reply and to renew leases: all that is stored is known."""
        self.is_loaded = True
        for session in self.sessions.values():
            self.spawn(self._run_session(session))

    async def _run_session(self, session: Session) -> None:
        name = session.worker.name
        try:
            await self._run_session_with_retries(session)
        finally:
            session.orders.close()
            if self.sessions.get(name) is session:
                del self.sessions[name]

    async def _run_session_with_retries(self, session: Session) -> None:
        while True:
            try:
                return await session.run()
            except Exception as error:  # noqa: BLE001
                # A bad report must not end the session with the worker.
                self.log.write(
                    'session-failed',
                    worker=session.worker.name,
                    error=repr(error),
                )
                await asyncio.sleep(SESSION_RETRY_S)

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run work until it is done or the epoch is over."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log.write('task-failed', error=repr(task.exception()))


def _stop_members(coordinator: Coordinator, lost: Run) -> None:
    """Stop the members of a gang that would wait for a lost one."""
    step = lost.task.step
    if step.broken_run == lost.number:
        # They were stopped for another member of the same run.
        return
    step.broken_run = lost.number
    for task in step.tasks:
        run = find_run(coordinator.workers, task)
        if run is not None and not run.stop_reason:
            orders = coordinator.sessions[run.worker.name].orders
            orders.stop(run, 'gang-broken')
