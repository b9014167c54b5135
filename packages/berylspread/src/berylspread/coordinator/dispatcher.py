"""Places waiting tasks in passes and sends the orders to start them."""

import asyncio
import contextlib
import functools
import itertools
from typing import TYPE_CHECKING, Final, final

from berylspread.coordinator.contention import (
    Admission,
    LoadReporter,
    Ordering,
    find_policy,
)
from berylspread.coordinator.fleet import (
    Run,
    Stage,
    Worker,
)
from berylspread.coordinator.holds import Holds
from berylspread.coordinator.interface import NO_TICKET
from berylspread.coordinator.lookahead import request_ahead
from berylspread.coordinator.model import (
    HIGHEST_PRIORITY,
    MS_PER_S,
    Phase,
    Step,
)
from berylspread.coordinator.orders import (
    NEVER_BEGAN,
    ORDER_GRACE_S,
    RESTARTED,
)
from berylspread.coordinator.permit_choice import FleetView
from berylspread.coordinator.permits import PermissionRequester
from berylspread.coordinator.planner import (
    Placement,
    StepPlacer,
    find_candidates,
)
from berylspread.coordinator.preemption import (
    PREEMPTION_PAUSE_S,
    choose_victims,
)
from berylspread.coordinator.speed_choice import choose_preference
from berylspread.coordinator.zone_evacuation import (
    BLOCKED_BY_QUOTA,
    BLOCKED_BY_ROOM,
    BLOCKED_BY_ZONES,
    ZONE_CLOSED,
    ZONES_UNCONFIRMED,
    ZoneEvacuation,
)
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure
from berylspread.kernel.turns import Turns, complete_in_turns

if TYPE_CHECKING:
    from berylspread.coordinator.coordinator import Coordinator

#: The shortest time between passes, so that one pass handles many outcomes.
MIN_PASS_INTERVAL_S: Final = 0.01
#: The same, relative to the duration of the last pass: replies and reports
#: need their part of the processor time.
PASS_REST_SHARE: Final = 0.5
#: The longest time between passes; occurrences become due without an event.
MAX_PASS_INTERVAL_S: Final = 0.2
#: The shortest time between reviews of jobs, workers and losses.
SWEEP_INTERVAL_S: Final = 0.2
#: The most waiting steps that a sweep logs, and the steps of the last pass
#: among which it looks for them.
MAX_WAITING_LOGGED: Final = 5
FIRST_STEPS_KEPT: Final = 100
#: How long a step waits before it looks for victims again if there were none.
PREEMPTION_RETRY_S: Final = 0.1
#: A run is not ordered since a worker lists another run of its task.
STRAY_LISTED: Final = 'stray-listed'
#: The units of work that an order takes, see ``kernel.turns``.
UNITS_PER_ORDER: Final = 20
#: How long the status of an ended job is kept for callers; this is longer than
#: the platform requires.
KEEP_ENDED_MS: Final = 150_000


@final
class Dispatcher:
    """Places waiting tasks whenever something has changed."""

    __slots__ = (
        'admission',
        'coordinator',
        'first_steps',
        'has_placed',
        'holds',
        'is_paused',
        'load_reporter',
        'permission_requester',
        'zone_evacuation',
    )

    def __init__(self, coordinator: 'Coordinator') -> None:
        self.coordinator = coordinator
        #: What is refused, and the policy of all decisions when room is short.
        self.admission = Admission(
            find_policy(coordinator.dependencies.contention)
        )
        self.holds = Holds()
        self.zone_evacuation = ZoneEvacuation(coordinator)
        self.load_reporter = LoadReporter(now())
        self.permission_requester = PermissionRequester(
            coordinator.dependencies.ask_through,
            coordinator.wake.set,
            coordinator.log,
        )
        #: The most urgent steps of the last pass.
        self.first_steps: list[Step] = []
        #: Whether the present or the last pass has placed a task.
        self.has_placed = False
        #: Whether nothing more is placed, before a handover.
        self.is_paused = False

    async def run(self) -> None:
        """Run passes until cancelled."""
        wake = self.coordinator.wake
        while True:
            # After the time limit nothing has changed, but occurrences may
            # have become due.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_PASS_INTERVAL_S):
                    await wake.wait()
            wake.clear()
            began_at = now()
            await self._run_pass()
            rest_s = PASS_REST_SHARE * (now() - began_at)
            await asyncio.sleep(max(MIN_PASS_INTERVAL_S, rest_s))

    async def run_sweeps(self) -> None:
        """Review jobs, workers and losses regularly until cancelled."""
        while True:
            began_at = now()
            await self._sweep()
            await asyncio.sleep(max(SWEEP_INTERVAL_S, now() - began_at))

    async def settle_orders(self, timeout_s: float) -> None:
        """Place nothing more; wait until all orders to start have replies.

        The members of a gang are ordered one by one, so that a term that ends
        in between would split it.
        """
        self.is_paused = True
        ends_at = now() + timeout_s
        while now() < ends_at and self._has_orders():
            await asyncio.sleep(MIN_PASS_INTERVAL_S)

    def _has_orders(self) -> bool:
        return any(
            run.stage is Stage.ordered
            for worker in self.coordinator.workers.values()
            for run in worker.runs.values()
        )

    async def _sweep(self) -> None:
        coordinator = self.coordinator
        wall_ms = coordinator.wall_ms()
        coordinator.health_monitor.update_speeds()
        await complete_in_turns(coordinator.table.update_estimates())
        for job_id in coordinator.table.forget_ended(wall_ms - KEEP_ENDED_MS):
            coordinator.committer.drop_job(job_id)
        coordinator.forget_workers()
        coordinator.silent_losses.review()
        self.zone_evacuation.review()
        await request_ahead(self)
        self._log_waiting_steps()
        self._report_load(wall_ms)

    def _report_load(self, wall_ms: float) -> None:
        moment, coordinator = now(), self.coordinator
        if coordinator.is_loaded and self.load_reporter.is_due(moment):
            fields = self.load_reporter.report(
                coordinator.table.ready_steps,
                coordinator.workers.values(),
                moment,
                wall_ms,
            )
            coordinator.log.write('load', **fields)

    def _view_order(self) -> Ordering:
        coordinator = self.coordinator
        return Ordering(self.admission.policy, coordinator.wall_ms())

    def view_fleet(self, moment: float) -> FleetView:
        """Return the workers at a moment in loop time."""
        return FleetView(
            self.coordinator.workers,
            moment,
            self.permission_requester.promises,
        )

    def _log_waiting_steps(self) -> None:
        """Log what the most urgent steps wait for."""
        coordinator = self.coordinator
        wall_ms = coordinator.wall_ms()
        waiting = (
            step
            for step in self.first_steps
            if step.waiting_tasks and not step.job.status.is_final
        )
        for step in itertools.islice(waiting, MAX_WAITING_LOGGED):
            coordinator.log.write(
                'step-waits',
                step=step.name,
                tenant=step.job.spec.tenant,
                tasks=len(step.waiting_tasks),
                blocked_by=step.blocked_by,
                over_share=step.job.over_share,
                share_step=step.job.share_step,
                left_ms=round(step.job.deadline_ms - wall_ms),
            )

    def may_place(self) -> bool:
        """Return whether tasks may be placed now."""
        coordinator = self.coordinator
        # Without a configuration every organisation would be treated as one
        # without a cap.  By one that is out of date, a task could be started on
        # a service that its queue has left.
        policies = coordinator.dependencies.policies
        is_ready = coordinator.is_loaded and policies.version > 0
        is_informed = (
            not policies.is_outdated() and policies.closed_zones.is_current()
        )
        return (
            not self.is_paused
            and is_ready
            and is_informed
            and coordinator.authority.is_confirmed(ORDER_GRACE_S)
        )

    async def _run_pass(self) -> None:
        """Try to place the steps that may run, the most urgent first."""
        coordinator = self.coordinator
        ready = coordinator.table.ready_steps
        turns = Turns()
        await complete_in_turns(
            coordinator.table.release_due(coordinator.wall_ms()), turns
        )
        if not self.may_place():
            return
        for job in await complete_in_turns(
            coordinator.table.update_queues(), turns
        ):
            coordinator.committer.store_job(job)
        ordering = self._view_order()
        steps = await self._arrange(ready.choose(), ordering, turns)
        self.first_steps = steps[:FIRST_STEPS_KEPT]
        self.has_placed = False
        await self._place_steps(steps, ordering, turns)
        if self.has_placed and ready.has_unseen():
            # There may be room for more of them.
            coordinator.wake.set()
        self.load_reporter.record_pass(turns.processor_s())

    async def _arrange(
        self, steps: list[Step], ordering: Ordering, turns: Turns
    ) -> list[Step]:
        for step in steps:
            ordering.standing(step)
            await turns.spend(1)
        return ordering.arrange(steps)

    async def _place_steps(
        self, steps: list[Step], ordering: Ordering, turns: Turns
    ) -> None:
        """Try to place steps in their order."""
        ready = self.coordinator.table.ready_steps
        seen: set[tuple[str, str, bool]] = set()
        fleet = self.view_fleet(now())
        for step in steps:
            if not step.waiting_tasks or step.job.status.is_final:
                ready.discard(step)
            elif step in ready:
                is_first = _see_kinds(step, seen)
                await self._place_step(
                    step, fleet, ordering, turns, is_first=is_first
                )
            if await turns.spend(1 + len(fleet.by_name)):
                fleet = self.view_fleet(now())
            if not self.may_place():
                break

    async def _place_step(
        self,
        step: Step,
        fleet: FleetView,
        ordering: Ordering,
        turns: Turns,
        *,
        is_first: bool,
    ) -> None:
        """Place the waiting tasks of a step, or preempt other runs for them.

        ``is_first`` says that the step is the most urgent one of its queue and
        organisation, or the most urgent of these with a long-running task away.
        """
        coordinator = self.coordinator
        moment = fleet.moment
        self.choose_preference(step)
        limit = coordinator.tenant_usage.allowed_tasks(
            step, self.holds.kept_quota(step, moment)
        )
        if is_first or limit or step.priority == HIGHEST_PRIORITY:
            self.permission_requester.request_if_needed(
                step, fleet, is_first=is_first
            )
        may_preempt = moment >= step.preempt_after
        candidates = (
            find_candidates(step, fleet.by_name, moment)
            if limit or may_preempt
            else []
        )
        self.zone_evacuation.record_obstacle(
            step, self._find_obstacle(step, limit, candidates)
        )
        if limit and candidates:
            placer = StepPlacer(step, candidates, self.holds, moment)
            work = placer.find_placements(limit)
            placements = await complete_in_turns(work, turns)
            await self._store_placements(step, placements, turns)
        if candidates and step.waiting_tasks and may_preempt:
            self._preempt_for(step, candidates, moment, ordering)

    def _find_obstacle(
        self, step: Step, limit: int, candidates: list[tuple[Worker, str]]
    ) -> str:
        if not limit:
            return BLOCKED_BY_QUOTA
        if candidates:
            return BLOCKED_BY_ROOM
        if self.zone_evacuation.is_confined(step):
            return BLOCKED_BY_ZONES
        return 'permission or worker'

    def choose_preference(self, step: Step) -> None:
        """Set which workers a step prefers at present."""
        speeds = self.coordinator.table.durations.speeds
        step.speed_preference = choose_preference(
            step,
            (speeds.fastest, speeds.slowest),
            self.coordinator.wall_ms(),
            is_fast_scarce=speeds.is_fast_scarce,
        )

    def _preempt_for(
        self,
        step: Step,
        candidates: list[tuple[Worker, str]],
        moment: float,
        ordering: Ordering,
    ) -> None:
        """Stop less urgent runs for the tasks that could not be placed."""
        coordinator = self.coordinator
        wanted = len(step.waiting_tasks)
        room = coordinator.tenant_usage.allowed_tasks(step)
        victims = choose_victims(
            step,
            room,
            [worker for worker, _ in candidates],
            coordinator.workers.values(),
            moment,
            ordering,
        )
        if not victims:
            step.preempt_after = moment + PREEMPTION_RETRY_S
            return
        step.preempt_after = moment + PREEMPTION_PAUSE_S
        coordinator.log.write(
            'preempt',
            step=step.name,
            waiting=wanted,
            within_quota=room < wanted,
            runs=[run.task.name for run in victims],
        )
        if room < wanted:
            self.holds.hold_quota(step, wanted - room, moment)
        else:
            workers = {run.worker.name for run in victims}
            self.holds.hold_room(step, workers, moment)
        for run in victims:
            coordinator.sessions[run.worker.name].orders.stop(run, 'preempted')

    async def _store_placements(
        self, step: Step, placements: list[Placement], turns: Turns
    ) -> None:
        """Reserve the workers of placements and store their runs.

        A gang that loses a member meanwhile is withdrawn as a whole.
        """
        runs: list[Run] = []
        tickets: list[str] = []
        for placement in placements:
            if step.job.status.is_final:
                break
            # This may have changed since the placement was found.
            if self.holds.may_place(placement.task):
                runs.append(self._reserve(placement))
                tickets.append(placement.ticket)
            await turns.spend(1)
        if not runs:
            return
        if step.spec.gang and not self._align_gang(runs, len(placements)):
            return
        self.has_placed = True
        stored = self.coordinator.committer.store_tasks(
            step, [run.task for run in runs]
        )
        stored.add_done_callback(
            functools.partial(self._send_orders, runs, tickets)
        )

    def _align_gang(self, runs: list[Run], member_count: int) -> bool:
        """Align the runs of a gang; withdraw them if any has been lost.

        Other members may have been reserved in earlier turns.  Returns whether
        the gang may start.
        """
        is_whole = len(runs) == member_count and all(
            _is_on_worker(run) and not run.stop_reason for run in runs
        )
        if is_whole:
            _align_gang_runs(runs)
            return True
        for run in runs:
            if _is_on_worker(run):
                self.coordinator.record_lost_run(run, NEVER_BEGAN)
        return False

    def _reserve(self, placement: Placement) -> Run:
        task, worker = placement.task, placement.worker
        task.step.waiting_tasks.remove(task)
        task.phase = Phase.placed
        task.run_number += 1
        task.worker = worker.name
        task.worker_born_ms = worker.born_ms
        task.was_placed = True
        run = Run(task, worker, Stage.ordered, now())
        worker.add_run(run)
        self.coordinator.tenant_usage.add_task(task)
        self.holds.release(task.step, worker.name)
        return run

    def _send_orders(
        self,
        runs: list[Run],
        tickets: list[str],
        stored: asyncio.Future[Failure | None],
    ) -> None:
        """Send the orders to start the runs whose records are stored."""
        if stored.cancelled() or stored.result() is not None:
            return
        self.coordinator.spawn(self._send_orders_in_turns(runs, tickets))

    async def _send_orders_in_turns(
        self, runs: list[Run], tickets: list[str]
    ) -> None:
        self._withdraw_from_closed_zones(runs)
        turns = Turns()
        for run, ticket in zip(runs, tickets, strict=True):
            # A run that is being stopped is settled by its stop.
            if _is_on_worker(run) and not run.stop_reason:
                self._send_order(run, ticket)
            await turns.spend(UNITS_PER_ORDER)

    def _withdraw_from_closed_zones(self, runs: list[Run]) -> None:
        """Give up the runs whose zone was closed while they were stored.

        If a member of a gang is among them, its other members are stopped.
        """
        coordinator = self.coordinator
        closed_zones = coordinator.dependencies.policies.closed_zones
        for run in runs:
            may_start = closed_zones.may_start(run.worker.entry.zone)
            if _is_on_worker(run) and not may_start:
                is_closed = run.worker.is_zone_closed
                reason = ZONE_CLOSED if is_closed else ZONES_UNCONFIRMED
                coordinator.record_lost_run(run, reason)

    def _may_be_misrouted(self, run: Run) -> bool:
        """Return whether the queue may have left the service of the worker.

        The record of a run takes long to store while the store is down.
        """
        job = run.task.step.job
        if self.coordinator.table.update_queue(job):
            self.coordinator.committer.store_job(job)
        spec = job.spec
        is_outdated = self.coordinator.dependencies.policies.is_outdated()
        return is_outdated or run.worker.entry.service != spec.queue.service

    def _send_order(self, run: Run, ticket: str) -> None:
        coordinator, job = self.coordinator, run.task.step.job
        if job.status.is_final:
            coordinator.record_lost_run(run, 'job-ended')
            return
        if run.task.worker_born_ms != run.worker.born_ms:
            # A successor would take the run for one of the former life.
            coordinator.record_lost_run(run, RESTARTED)
            return
        if self.holds.has_stray(run.task):
            coordinator.record_lost_run(run, STRAY_LISTED)
            return
        if self._may_be_misrouted(run):
            coordinator.record_lost_run(run, 'queue-moved')
            return
        if ticket and _has_ticket_expired(run):
            # The ticket expired while the record of the run was being stored.
            coordinator.record_refusal(run, NO_TICKET)
            return
        run.record_order(now())
        waited_ms = coordinator.wall_ms() - job.spec.accepted_ms
        coordinator.log.metrics.observe('wait', waited_ms / MS_PER_S)
        away_s = run.task.away_s(now())
        if away_s and run.task.step.spec.long_running:
            coordinator.log.metrics.observe('restart', away_s)
        coordinator.log.write(
            'start',
            task=run.task.name,
            run=run.number,
            worker=run.worker.name,
            token=coordinator.token,
            waited_ms=waited_ms,
            away_ms=round(away_s * MS_PER_S),
        )
        coordinator.sessions[run.worker.name].orders.start(run, ticket)


def _find_kinds(step: Step) -> set[tuple[str, str, bool]]:
    """Return the kinds of steps of which only the first asks ahead.

    A step whose long-running task is away does not wait behind steps that have
    yet to start: while it asks, less urgent steps would take its room.
    """
    queue, tenant = step.job.spec.queue.name, step.job.spec.tenant
    return {(queue, tenant, False), (queue, tenant, step.has_task_away())}


def _see_kinds(step: Step, seen: set[tuple[str, str, bool]]) -> bool:
    """Add the kinds of a step; return whether it is the first of any."""
    kinds = _find_kinds(step)
    is_first = not kinds <= seen
    seen |= kinds
    return is_first


def _is_on_worker(run: Run) -> bool:
    return run.worker.runs.get(run.task.name) is run


def _has_ticket_expired(run: Run) -> bool:
    tickets = run.task.step.tickets
    if tickets is None:
        return True
    _, until = tickets.by_worker.get(run.worker.name, ('', 0.0))
    return until <= now()


def _align_gang_runs(runs: list[Run]) -> None:
    # The members of a gang have the same run number and resume from the same
    # checkpoint; the checkpoint of any member is valid for all.
    number = max(run.number for run in runs)
    checkpoint = max(run.task.checkpoint for run in runs)
    for run in runs:
        run.task.checkpoint = checkpoint
        run.number = number
        run.task.run_number = number
