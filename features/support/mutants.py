"""Mutants of the coordinator and of the review of documents.

Each has one mechanism switched off.

``BERYLSPREAD_MUTANT`` names the mutant that ``before_all`` applies.  Its
scenario must then fail.  ``python -m features.support.mutants`` runs all
mutants, or those that are named, and prints which were caught.
"""

import math
import os
import re
import subprocess
import sys
from typing import Any, Final, NamedTuple

import msgspec

from berylspread.config import review
from berylspread.coordinator import (
    attempts,
    blame,
    claim_history,
    closed_zones,
    config_feed,
    confirmations,
    dispatcher,
    fenced_log,
    fleet,
    health_monitor,
    holds,
    inheritance,
    interface,
    job_room,
    leader_record,
    loss_index,
    model,
    moves,
    orders,
    outcomes,
    permit_choice,
    planner,
    policy,
    restoring,
    service,
    session,
    settlement,
    silent_losses,
    slow_runs,
    speed_choice,
    table,
    worker_speeds,
    zone_moves,
)
from berylspread.coordinator import coordinator as coordinators
from berylspread.coordinator.contention import (
    Ordering,
    Verdict,
    admission,
    forecast,
    policies,
    standing,
)
from berylspread.coordinator.job_room import JobRoom
from berylspread.coordinator.worker_bounds import WorkerBounds
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure, Overloaded
from berylspread.peers import incarnations
from berylspread.serving import ConnectionGuard, GuardedProtocol
from berylspread.serving.request_bounds import RequestBounds
from berylspread_platform import hangups

MUTANT_ENV: Final = 'BERYLSPREAD_MUTANT'
ATTEMPTS: Final = 'features/coordinator/attempts.feature'
COORDINATION: Final = 'features/coordinator/coordination.feature'
CHECK: Final = 'features/cli/check.feature'
EXPLORER: Final = 'features/explorer/explorer.feature'
LEADERSHIP: Final = 'features/coordinator/leadership.feature'
WORKER_LIVES: Final = 'features/coordinator/worker_lives.feature'
WORKER_HEALTH: Final = 'features/coordinator/worker_health.feature'
MOVE_AWAY: Final = 'Tasks move away from a worker on which they stall'
ZONES: Final = 'features/coordinator/zone_evacuation.feature'
MOVES: Final = 'features/coordinator/moves.feature'
WORKER_SPEEDS: Final = 'features/coordinator/worker_speeds.feature'
LEAVE_FREE: Final = (
    'Batch tasks with time leave the last room on fast workers free'
)
CALLERS: Final = 'features/adapter/callers.feature'
CONTENTION: Final = 'features/coordinator/contention.feature'
PERMISSIONS: Final = 'features/coordinator/permissions.feature'
PACING: Final = 'features/coordinator/pacing.feature'


def _always(*arguments: Any, **named: Any) -> bool:
    return True


def _nothing(*arguments: Any, **named: Any) -> list[Any]:
    return []


async def _do_nothing(*arguments: Any, **named: Any) -> None:
    """Do nothing."""


def _no_effect(*arguments: Any) -> str:
    return ''


async def _claim_anywhere(
    self: leader_record.RecordWriter, record: Any, at: int | None
) -> Any:
    """Append a claim without its offset and without a producer."""
    if at is None:
        return await APPEND_RECORD(self, record, None)
    return await _append_plainly(self, record, None)


async def _claim_unfenced(
    self: leader_record.RecordWriter, record: Any, at: int | None
) -> Any:
    """Append a claim without a producer: earlier epochs may still renew."""
    if at is None:
        return await APPEND_RECORD(self, record, None)
    self.seq = 0
    return await _append_plainly(self, record, at)


async def _append_plainly(
    self: leader_record.RecordWriter, record: Any, at: int | None
) -> Any:
    reply = await self.store.append(
        self.topic,
        [(leader_record.LEADER_KEY, msgspec.msgpack.encode(record))],
        at=at,
        timeout_s=leader_record.CALL_TIMEOUT_S,
    )
    return reply if isinstance(reply, Failure) else None


def _count_workers(
    step: model.Step,
    tickets: model.StepTickets,
    fleet: permit_choice.FleetView,
    *,
    is_first: bool,
) -> list[fleet.Worker]:
    """Compare the number of answered workers, not their names."""
    if len(tickets.answered_workers) >= len(fleet.by_name):
        return []
    return REQUESTABLE(step, tickets, fleet, is_first=is_first)


async def _acknowledge_at_once(self: session.Session, rows: list[Any]) -> None:
    """Acknowledge outcomes that are not stored yet."""
    if rows:
        self.worker.acked_seq = max(row.seq for row in rows)


def _rank_by_arrival(self: Any, steps: Any) -> list[Any]:
    return sorted(steps, key=lambda step: self.policy.rank(self.standing(step)))


async def _refuse_unconfirmed(
    self: service.JobService, spec: model.JobSpec
) -> Failure | None:
    """Refuse without waiting for a confirmation of the authority."""
    verdict: Verdict = self._judge(spec)
    if verdict.action is not admission.Action.refuse:
        return None
    self.coordinator.log.write('job-refused', job=spec.job_id)
    return Overloaded(verdict.reason, retry_after_s=1)


async def _wait_for_nothing(self: Any) -> None:
    """Return at once."""


def _return_together(
    self: admission.Admission, job: model.Job, wait: Any, *times: float
) -> float:
    return wait.seconds - 1


def _forget_debts(restored: table.JobTable, debts: Any) -> None:
    """Let a successor begin without debts."""


def _ignore_usefulness(self: Any, found: standing.Standing) -> Any:
    return (found.share_step, found.priority)


def _ignore_share(self: Any, found: standing.Standing) -> Any:
    return (found.is_useless, found.priority)


def _accept_beside_stray_runs(worker: fleet.Worker, moment: float) -> bool:
    """Accept runs on workers with stray runs, whose resources are unknown."""
    return worker.is_present and worker.is_reachable and worker.entry.is_ready


def _not_after(moment: float | None, limit: float) -> bool:
    """Treat an event at the same moment as an earlier one."""
    return moment is not None and moment <= limit


def _whole_step(usage: planner.TenantUsage, step: model.Step) -> int:
    """Ignore the resources that the organisation uses."""
    return step.spec.count


def _place_part(plan: planner.StepPlacer, waiting: list[Any]) -> Any:
    """Place only the members of a gang that fit."""
    return plan._place_in_order(waiting, plan.candidates)


def _no_attempts(task: model.Task) -> int:
    """Count no attempt."""
    return 0


def _know_no_zones_without_entry(
    coordinator: coordinators.Coordinator, name: str
) -> fleet.Worker:
    """Let a worker without an entry never learn of the closed zones."""
    worker = fleet.Worker(fleet.placeholder_entry(name), ())
    worker.is_present = False
    coordinator.start_session(worker)
    return worker


def _unlike_any(step: model.Step) -> tuple[Any, ...]:
    """Take each search as one for a kind that was never searched for."""
    return (*KIND_OF(step)[:-1], object())


def _is_recent(zones: closed_zones.ClosedZones) -> bool:
    """Without a bound, take names as current that were never read."""
    return zones.clock() - zones.confirmed_at <= zones.max_age_s


def _apply_any(policies: policy.PolicyCache, configuration: Any) -> bool:
    """Also apply older configurations."""
    policies.configuration = None
    return APPLY_CONFIGURATION(policies, configuration)


async def _send_unchecked(
    self: orders.OrderSender, run: fleet.Run, ticket: str
) -> None:
    """Send an order to start, however late and without authority."""
    async with self.start_slots:
        await self._request_start(run, ticket, now())


def _share_slots(self: orders.OrderSender, *parts: Any) -> None:
    """Let orders to stop wait for those to start."""
    INIT_ORDERS(self, *parts)
    self.stop_slots = self.start_slots


async def _stop_nothing(self: orders.OrderSender, run: fleet.Run) -> None:
    """Send no order to stop the run."""


def _run_when_placed(self: dispatcher.Dispatcher, placement: Any) -> Any:
    """Mark a job as running before a worker has confirmed the run."""
    run = RESERVE(self, placement)
    run.task.step.job.status = model.JobStatus.running
    return run


def _any_worker(step: Any, workers: Any, moment: float) -> list[Any]:
    """Ignore labels and permissions."""
    return [(worker, '') for worker in workers.values() if worker.is_present]


def _never(*arguments: Any, **named: Any) -> bool:
    return False


def _trust_any_age(policies: policy.PolicyCache) -> bool:
    """Take the configuration and the closed zones as up to date."""
    policies.closed_zones.confirm(policies.clock())
    return False


def _forget_confirmed(self: session.Session, report: Any) -> None:
    """Treat every confirmed run as one from before the worker's restart."""
    if self.worker.born_ms not in {0, report.born_ms}:
        for run in list(self.worker.runs.values()):
            if run.confirmed_at is not None:
                self.coordinator.record_lost_run(run, orders.RESTARTED)
    DETECT_RESTART(self, report)


def _list_known_only(self: settlement.Settlement, rows: list[Any]) -> set[str]:
    """Return only the tasks whose listed runs are known."""
    APPLY_RUNNING(self, rows)
    if self.worker.stray_tasks:
        # A placement would wait for a task that is named.
        self.worker.stray_tasks = frozenset(('unnamed',))
    runs = self.worker.runs
    return {
        row.task
        for row in rows
        if row.task in runs and runs[row.task].number == row.run
    }


def _run_again(coordinator: coordinators.Coordinator, run: fleet.Run) -> None:
    """Run a task again after its success."""
    coordinator.requeue(run.task)


def _no_penalty(*arguments: Any) -> tuple[int, int]:
    """Treat all workers as equally fast."""
    return 0, 0


def _compare_at_once(
    self: worker_speeds.WorkerSpeeds, run: fleet.Run, *measured: float
) -> None:
    """Compare a task with those of its step that have ended before it."""
    RECORD_TASK(self, run, *measured)
    rows = list(self.measurements.get(run.task.step.name, []))
    self.finish_step(run.task.step, measured[-1])
    self.measurements[run.task.step.name] = rows


REQUESTABLE: Final = permit_choice._requestable_workers
KIND_OF: Final = zone_moves._kind_of
APPEND_RECORD: Final = leader_record.RecordWriter._append
APPLY_CONFIGURATION: Final = policy.PolicyCache.apply
INIT_ORDERS: Final = orders.OrderSender.__init__
RESERVE: Final = dispatcher.Dispatcher._reserve
APPLY_RUNNING: Final = settlement.Settlement.apply_running
DETECT_RESTART: Final = session.Session._detect_restart
RECORD_TASK: Final = worker_speeds.WorkerSpeeds.record_task


class Mutant(NamedTuple):
    """A replaced attribute and the scenario that must then fail."""

    owner: Any
    name: str
    replacement: Any
    feature: str
    scenario: str


MUTANTS: Final[dict[str, Mutant]] = {
    'claims-anywhere': Mutant(
        leader_record.RecordWriter,
        '_append',
        _claim_anywhere,
        COORDINATION,
        'Nodes that claim at the same moment do not both win',
    ),
    'claims-unfenced': Mutant(
        leader_record.RecordWriter,
        '_append',
        _claim_unfenced,
        LEADERSHIP,
        'A renewal that lands after the next claim is refused',
    ),
    'answers-counted': Mutant(
        permit_choice,
        '_requestable_workers',
        _count_workers,
        EXPLORER,
        'All workers are replaced by others under new names',
    ),
    'ends-acknowledged-at-once': Mutant(
        session.Session,
        '_acknowledge',
        _acknowledge_at_once,
        COORDINATION,
        'An outcome is acknowledged only once it is stored',
    ),
    'leases-over-at-once': Mutant(
        fleet.Worker,
        'lease_is_over',
        _always,
        COORDINATION,
        'A task is not given to another worker before its lease is over',
    ),
    'former-lives-ignored': Mutant(
        fleet.Worker,
        'is_settled',
        _always,
        WORKER_LIVES,
        "TWICE: a long lease in a worker's next life is known to the next "
        'coordinator',
    ),
    'stray-ends-ignored': Mutant(
        silent_losses.SilentLosses,
        'apply_end',
        lambda *arguments: None,
        'features/coordinator/stray_runs.feature',
        'LOST: a task that is done out of touch counts once its end is listed',
    ),
    'stray-runs-placed-beside': Mutant(
        holds.Holds,
        'note_strays',
        lambda *arguments: None,
        'features/coordinator/stray_runs.feature',
        'TWICE: a task is not placed while a worker lists a stray run of it',
    ),
    'orders-arrive-at-once': Mutant(
        session,
        'ORDER_TRANSIT_S',
        0,
        'features/coordinator/first_reports.feature',
        'TWICE: an order that arrives after the first report of a life is '
        'waited for',
    ),
    'stray-leases-ignored': Mutant(
        settlement.Settlement,
        'lists_order_of_other_life',
        _never,
        'features/coordinator/first_reports.feature',
        "TWICE: a stray run in a worker's next life extends the leases beside "
        'it',
    ),
    'kills-take-no-time': Mutant(
        coordinators.Coordinator,
        'worker_bounds',
        property(lambda coordinator: WorkerBounds(max_stop_ms=0)),
        'features/coordinator/lease_ends.feature',
        'TWICE: a task is not placed anew before its worker has killed the '
        'former run',
    ),
    'lives-settled-at-once': Mutant(
        session,
        'ORDER_TRANSIT_S',
        -math.inf,
        WORKER_LIVES,
        "TWICE: a long lease in a worker's next life is known to the next "
        'coordinator',
    ),
    'unreported-lives-ignored': Mutant(
        fleet.Worker,
        'may_have_unsettled_life',
        _never,
        WORKER_LIVES,
        'TWICE: a next life that nobody reaches may run what was ordered',
    ),
    'stops-outlast-lives': Mutant(
        fleet.Worker,
        'forget_prevented_starts',
        _no_effect,
        WORKER_LIVES,
        'TWICE: a stop that a former life has confirmed proves nothing of the '
        'next',
    ),
    'refusals-of-former-addresses': Mutant(
        fleet.Worker,
        'last_news',
        _nothing,
        WORKER_LIVES,
        "TWICE: a refusal from a worker's former address proves nothing of its "
        'runs',
    ),
    'strays-not-awaited': Mutant(
        settlement.Settlement,
        'apply_running',
        _list_known_only,
        WORKER_LIVES,
        'TWICE: a run is not over while another run of its task is listed',
    ),
    'answers-before-loading': Mutant(
        service.JobService,
        '_may_answer',
        _always,
        'features/coordinator/unknown_jobs.feature',
        'LOST: a confirmed coordinator that is still loading shows no job as '
        'unknown',
    ),
    'room-beside-strays': Mutant(
        fleet.Worker,
        'accepts_runs',
        _accept_beside_stray_runs,
        COORDINATION,
        'Runs of a cancelled job still use room on their worker',
    ),
    'same-moment-proves': Mutant(
        settlement,
        '_is_before',
        _not_after,
        COORDINATION,
        'A report requested at the moment of a reply proves nothing',
    ),
    'caps-ignored': Mutant(
        planner.TenantUsage,
        'allowed_tasks',
        _whole_step,
        COORDINATION,
        'A team has no more running than its cap',
    ),
    'gangs-in-parts': Mutant(
        planner.StepPlacer,
        '_place_gang',
        _place_part,
        COORDINATION,
        'All tasks of a gang begin together or none does',
    ),
    'steps-at-once': Mutant(
        model.Job,
        'is_runnable',
        _always,
        COORDINATION,
        'A job of two steps runs in order',
    ),
    'attempts-uncounted': Mutant(
        outcomes,
        'count_attempts',
        _no_attempts,
        COORDINATION,
        'A job whose task fails every attempt is shown as failed',
    ),
    'stops-unsent': Mutant(
        orders.OrderSender,
        '_send_stop',
        _stop_nothing,
        COORDINATION,
        "A cancelled job's tasks are stopped and begin no more",
    ),
    'orders-without-authority': Mutant(
        orders.OrderSender,
        '_send_start',
        _send_unchecked,
        'features/coordinator/authority.feature',
        'TWICE: an order does not leave a coordinator that has stood still',
    ),
    'stops-behind-starts': Mutant(
        orders.OrderSender,
        '__init__',
        _share_slots,
        'features/coordinator/order_sending.feature',
        'UNASKED: a stop does not wait behind orders to start',
    ),
    'starts-beyond-connections': Mutant(
        orders,
        'MAX_STARTS_IN_FLIGHT',
        64,
        'features/adapter/order_connections.feature',
        'LOST: no order to start times out while it waits for a connection',
    ),
    'stops-without-authority': Mutant(
        orders.OrderSender,
        '_may_change_runs',
        lambda _self: True,
        'features/coordinator/order_sending.feature',
        'UNASKED: a stop does not leave without authority',
    ),
    'begun-when-placed': Mutant(
        dispatcher.Dispatcher,
        '_reserve',
        _run_when_placed,
        COORDINATION,
        'A job that was only placed counts as waiting',
    ),
    'permissions-ignored': Mutant(
        dispatcher,
        'find_candidates',
        _any_worker,
        COORDINATION,
        'Permissions are requested and tickets renewed',
    ),
    'crawling-not-seen': Mutant(
        health_monitor,
        'find_slow_or_stalled',
        _nothing,
        WORKER_HEALTH,
        MOVE_AWAY,
    ),
    'failures-not-blamed': Mutant(
        blame.WorkerHealth,
        'record_failure',
        _never,
        WORKER_HEALTH,
        'A worker that fails every task is soon avoided',
    ),
    'gang-failures-counted-per-member': Mutant(
        attempts,
        '_newest_failed_run',
        lambda task: 0,
        ATTEMPTS,
        'A run of a gang is one attempt, whichever members fail in it',
    ),
    'own-tasks-count-as-room': Mutant(
        fleet.Worker,
        'unused_limit',
        lambda self, step: fleet.MAX_RUNS,
        PERMISSIONS,
        'Workers that may run no more tasks of a step count as no place',
    ),
    'away-tasks-wait-their-turn': Mutant(
        dispatcher,
        '_find_kinds',
        lambda step: {step.job.spec.queue.name},
        PERMISSIONS,
        'A failed long-running task gets its place back while an older job'
        ' waits',
    ),
    'speeds-not-used': Mutant(
        planner,
        'speed_penalty',
        _no_penalty,
        WORKER_SPEEDS,
        'Urgent tasks go to the fast workers of a cell once they are known',
    ),
    'batch-on-fast-workers': Mutant(
        dispatcher,
        'choose_preference',
        lambda *arguments, **named: speed_choice.FAST_FIRST,
        WORKER_SPEEDS,
        LEAVE_FREE,
    ),
    'time-left-ignored': Mutant(
        speed_choice,
        'remaining_path_ms',
        lambda step: math.inf,
        WORKER_SPEEDS,
        'Which workers a step prefers',
    ),
    'fast-workers-never-scarce': Mutant(
        worker_speeds,
        '_free_share',
        lambda workers: 1.0,
        WORKER_SPEEDS,
        LEAVE_FREE,
    ),
    'gangs-of-mixed-speed': Mutant(
        planner.StepPlacer,
        '_split_by_speed',
        lambda self, choices: [choices],
        WORKER_SPEEDS,
        'A gang is placed on workers of one speed',
    ),
    'permissions-without-speed': Mutant(
        permit_choice,
        'speed_penalty',
        _no_penalty,
        WORKER_SPEEDS,
        'Requests of an urgent step name fast workers first',
    ),
    'first-ends-compared': Mutant(
        worker_speeds.WorkerSpeeds,
        'record_task',
        _compare_at_once,
        WORKER_SPEEDS,
        'The first tasks of a step to end say nothing',
    ),
    'spells-remembered': Mutant(
        worker_speeds,
        'WORKER_AGE_S',
        math.inf,
        WORKER_SPEEDS,
        'A worker that is slow for a while has a factor of its own',
    ),
    'unhealthy-workers-compared': Mutant(
        worker_speeds,
        '_is_comparable',
        _always,
        WORKER_SPEEDS,
        'Tasks on a worker that is marked as unhealthy are not compared',
    ),
    'siblings-not-compared': Mutant(
        worker_speeds.WorkerSpeeds,
        'typical_s',
        lambda self, step: None,
        WORKER_SPEEDS,
        'A run is compared with the ended tasks of its step',
    ),
    'long-tasks-moved-for-ever': Mutant(
        slow_runs,
        '_is_long_by_itself',
        _never,
        WORKER_SPEEDS,
        'A task that is slow on a second worker is long by itself',
    ),
    'late-runs-stay': Mutant(
        moves.MoveFinder,
        'find',
        _nothing,
        MOVES,
        'A run that moves is stopped and room is kept for it',
    ),
    'moves-to-kept-room': Mutant(
        moves.Holds,
        'free_room',
        lambda self, worker, step, moment: worker.free,
        MOVES,
        'Room that is kept for an urgent step is no room for a move',
    ),
    'moves-all-at-once': Mutant(
        moves.MoveFinder,
        '_is_moving',
        _never,
        MOVES,
        'One run of a step on several workers moves at a time',
    ),
    'draining-not-left': Mutant(
        coordinators,
        'runs_to_move',
        _nothing,
        COORDINATION,
        'Long-running tasks leave a draining worker before it leaves',
    ),
    'new-life-forgotten': Mutant(
        session.Session,
        '_detect_restart',
        _forget_confirmed,
        COORDINATION,
        'An order that a restarted worker has confirmed is not forgotten',
    ),
    'success-forgotten': Mutant(
        outcomes,
        'OUTCOME_HANDLERS',
        {**outcomes.OUTCOME_HANDLERS, interface.Outcome.succeeded: _run_again},
        COORDINATION,
        'A lost reply of the store changes nothing',
    ),
    'crashes-uncounted': Mutant(
        silent_losses,
        'is_given_up',
        _never,
        'features/coordinator/crashes.feature',
        'BUDGET: a task that crashes each worker that starts it is given up',
    ),
    'silence-counts-as-crash': Mutant(
        silent_losses,
        'GONE_S',
        0.0,
        'features/coordinator/crashes.feature',
        'LOST: a task is on hold while three of its workers are silent',
    ),
    'queues-as-accepted': Mutant(
        table.JobTable,
        '_update_queue',
        _never,
        'features/coordinator/configuration.feature',
        'LOST: a queue that comes back sends its jobs where it says',
    ),
    'placed-by-outdated-configuration': Mutant(
        policy.PolicyCache,
        'is_outdated',
        _trust_any_age,
        'features/coordinator/configuration.feature',
        'ROUTE: nothing starts by a configuration that is out of date',
    ),
    'refused-append-repeated': Mutant(
        fenced_log,
        'RecordsRefused',
        type(None),
        'features/coordinator/large_jobs.feature',
        'LOST: a record that the store refuses for good holds up no other',
    ),
    'one-record-for-a-step': Mutant(
        model,
        'TASKS_PER_RECORD',
        sys.maxsize,
        'features/coordinator/large_jobs.feature',
        'LOST: a successor goes on with a step of many tasks',
    ),
    'leases-counted-anew': Mutant(
        claim_history.ClaimHistory,
        'age_after',
        lambda claims, epoch: 0.0,
        'features/coordinator/inherited_leases.feature',
        'LOST: the wait for leases does not begin anew with a coordinator',
    ),
    'leases-extended-before-contact': Mutant(
        session.Session,
        '_may_extend_leases',
        lambda self: self.worker.is_reachable,
        'features/coordinator/inherited_leases.feature',
        'TWICE: no lease is extended before the contact is stored',
    ),
    'closures-not-read': Mutant(
        config_feed.ConfigFeed,
        '_apply_zone',
        _nothing,
        EXPLORER,
        'Schedules with one deviation while zones are closed',
    ),
    'closed-zones-used': Mutant(
        fleet.Worker,
        'is_zone_closed',
        property(_never),
        ZONES,
        'No permission is requested for the workers of a closed zone',
    ),
    'orders-sent-into-closed-zones': Mutant(
        closed_zones.ClosedZones,
        'may_start',
        _always,
        ZONES,
        'GANG: a gang with a member in a closed zone waits as a whole',
    ),
    'closed-zones-not-loaded': Mutant(
        config_feed.ConfigFeed,
        'load_zones',
        _do_nothing,
        ZONES,
        'EVAC: a successor knows a zone whose record is no longer in the log',
    ),
    'closed-zones-used-unread': Mutant(
        closed_zones.ClosedZones,
        'is_current',
        _is_recent,
        ZONES,
        'EVAC: without a bound, a successor reads the zones before it starts',
    ),
    'closed-zones-trusted-for-ever': Mutant(
        closed_zones.ClosedZones,
        'is_current',
        _always,
        ZONES,
        'EVAC: nothing starts while it is not confirmed which zones are closed',
    ),
    'zones-left-at-once': Mutant(
        zone_moves.MovePlanner,
        '_may_stop',
        _always,
        ZONES,
        'Long-running tasks leave a closed zone a few at a time',
    ),
    'zones-of-inherited-workers-ignored': Mutant(
        inheritance,
        '_add_absent_worker',
        _know_no_zones_without_entry,
        ZONES,
        'A successor moves the tasks of a worker whose entry was missing',
    ),
    'moves-searched-without-end': Mutant(
        zone_moves,
        'MAX_FRUITLESS',
        sys.maxsize,
        ZONES,
        'A review looks at few workers while no other zone has room',
    ),
    'fruitless-searches-forgotten': Mutant(
        zone_moves,
        '_kind_of',
        _unlike_any,
        ZONES,
        'A small run leaves although many larger ones find no room',
    ),
    'moves-beyond-quota': Mutant(
        zone_moves.MovePlanner,
        '_is_within_quota',
        _always,
        ZONES,
        "Runs above their organisation's quota end where they are",
    ),
    'configuration-reverts': Mutant(
        policy.PolicyCache,
        'apply',
        _apply_any,
        'features/adapter/documents.feature',
        'An older configuration does not replace a newer one',
    ),
    'jobs-of-any-memory': Mutant(
        JobRoom,
        '_has_room',
        _always,
        'features/coordinator/job_room.feature',
        'A job is refused while others take the memory',
    ),
    'ended-tasks-kept': Mutant(
        model.Job,
        'release',
        _nothing,
        'features/coordinator/large_jobs.feature',
        'The tasks of a job that has ended are not kept',
    ),
    'no-part-for-small-jobs': Mutant(
        job_room,
        'SMALL_JOBS_PART',
        0,
        'features/coordinator/job_room.feature',
        'Large jobs leave room for small ones',
    ),
    'heads-of-any-length': Mutant(
        RequestBounds,
        '_check_head',
        _nothing,
        CALLERS,
        'A head without end is refused',
    ),
    'requests-of-any-memory': Mutant(
        ConnectionGuard,
        'is_full',
        property(lambda guard: False),
        CALLERS,
        'A request is refused if nobody can make way',
    ),
    'connections-first-come': Mutant(
        ConnectionGuard,
        '_find_unused',
        lambda guard, connection: None,
        CALLERS,
        'The longest silent connection makes way for a new one',
    ),
    'served-requests-ended': Mutant(
        GuardedProtocol,
        'is_served',
        property(lambda connection: False),
        CALLERS,
        'A request that the application has is not ended for a new connection',
    ),
    'callers-of-any-slowness': Mutant(
        ConnectionGuard,
        '_end_slow',
        _nothing,
        CALLERS,
        'A head that does not come to its end is given up',
    ),
    'slow-heads-lose-answers': Mutant(
        GuardedProtocol,
        'is_served',
        property(lambda connection: False),
        CALLERS,
        'A served request is not ended for a slow head behind it',
    ),
    'refusals-of-what-may-run': Mutant(
        GuardedProtocol,
        '_may_answer',
        _always,
        CALLERS,
        'A cancellation whose body has no end is not said to be refused',
    ),
    'requests-crowd': Mutant(
        permit_choice.RoomPromises,
        'add',
        _nothing,
        'features/coordinator/permissions.feature',
        'Steps that send requests in a burst name different workers',
    ),
    'order-of-arrival': Mutant(
        Ordering,
        'arrange',
        _rank_by_arrival,
        CONTENTION,
        'No job waits for ever: the longest overdue goes before all others',
    ),
    'refused-unconfirmed': Mutant(
        service.JobService,
        '_find_refusal',
        _refuse_unconfirmed,
        CONTENTION,
        'REFUSED: nothing is refused before the authority is confirmed',
    ),
    'callers-return-together': Mutant(
        admission.Admission,
        '_return_after_s',
        _return_together,
        CONTENTION,
        'Callers who are refused return one after another once there is room',
    ),
    'debts-forgotten': Mutant(
        restoring,
        '_restore_debts',
        _forget_debts,
        CONTENTION,
        'A takeover in a burst neither forgets nor doubles debts',
    ),
    'useless-first': Mutant(
        policies.CostPolicy,
        'group',
        _ignore_usefulness,
        CONTENTION,
        'A job that no longer helps anybody gives way to one that can be on '
        'time',
    ),
    'share-ignored': Mutant(
        policies.CostPolicy,
        'group',
        _ignore_share,
        CONTENTION,
        'Small callers keep their latency beside a large one',
    ),
    'idle-workers-ignored': Mutant(
        forecast.Forecast,
        '_has_free_room',
        _never,
        CONTENTION,
        'Nothing is refused beside idle workers',
    ),
    'backlog-ignored': Mutant(
        forecast.Forecast,
        'add_job',
        _nothing,
        CONTENTION,
        'REFUSED: a job that was refused never runs, one that is repeated '
        'keeps its answer',
    ),
    'keys-trusted-for-ever': Mutant(
        policy.PolicyCache,
        'age_s',
        lambda policies: 0.0,
        'features/adapter/jobs.feature',
        'Keys are refused once the store has not confirmed them for too long',
    ),
    'late-appends-delay-others': Mutant(
        fenced_log.FencedLog,
        '_is_behind',
        _never,
        'features/coordinator/append_order.feature',
        'An append that arrives late does not slow down those after it',
    ),
    'settled-losses-examined': Mutant(
        loss_index.LossIndex,
        'forget_settled',
        lambda index: None,
        'features/coordinator/silent_losses.feature',
        'A task whose losses are settled is examined no more',
    ),
    'hangups-not-held': Mutant(
        hangups,
        'hold_hangups',
        lambda: None,
        'features/adapter/reload.feature',
        'A signal that is held back is delivered later',
    ),
    'incarnations-by-number': Mutant(
        incarnations.IncarnationTracker,
        '_is_silent',
        lambda tracker, known: False,
        'features/peers/grpc_peers.feature',
        'A peer restarts with an earlier clock',
    ),
    'ended-processes-accepted': Mutant(
        incarnations.IncarnationTracker,
        '_is_silent',
        _always,
        'features/peers/grpc_peers.feature',
        'Messages of a replaced incarnation are dropped',
    ),
    'environment-not-compared': Mutant(
        review,
        'check_environment',
        _nothing,
        CHECK,
        'A document for another environment than the one asked for',
    ),
    'effects-not-looked-up': Mutant(
        review,
        'find_effect',
        _no_effect,
        CHECK,
        'A queue of another kind',
    ),
    'unknown-jobs-unconfirmed': Mutant(
        service.JobService,
        '_confirm_authority',
        _wait_for_nothing,
        'features/coordinator/proofs.feature',
        'UNASKED: a coordinator that may have a successor does not answer that '
        'a job is unknown',
    ),
    'any-number-waits': Mutant(
        confirmations.Confirmations,
        'is_full',
        _never,
        'features/coordinator/unknown_jobs.feature',
        'OVERLOAD: few requests for unknown jobs wait for a confirmation',
    ),
}


def apply_mutant() -> None:
    """Apply the mutant that the environment names, if any."""
    name = os.environ.get(MUTANT_ENV)
    if name:
        mutant = MUTANTS[name]
        setattr(mutant.owner, mutant.name, mutant.replacement)


def catches(name: str) -> bool:
    """Return whether a mutant's scenario fails with it and passes without."""
    return _run(name, '') and not _run(name, name)


def _run(name: str, mutant: str) -> bool:
    chosen = MUTANTS[name]
    # behave selects scenarios by a regular expression; those of an outline
    # have the number of their example behind their name.
    pattern = f'^{chosen.scenario}( -- @.*)?$'
    finished = subprocess.run(
        (sys.executable, '-m', 'behave', chosen.feature, '--name', pattern),
        env={**os.environ, MUTANT_ENV: mutant},
        capture_output=True,
        check=False,
    )
    began = re.search(
        rf'Scenario( Outline)?: {re.escape(chosen.scenario)}',
        finished.stdout.decode(),
    )
    assert began is not None, name
    return finished.returncode == 0


def main() -> None:
    """Print each mutant and whether its scenario caught it."""
    names = sys.argv[1:] or list(MUTANTS)
    missed = [name for name in names if not catches(name)]
    for name in names:
        verdict = 'MISSED' if name in missed else 'caught'
        sys.stdout.write(f'{verdict}  {name}: {MUTANTS[name].scenario}\n')
    sys.exit(bool(missed))


if __name__ == '__main__':
    main()
