"""Applies a worker's replies to the attempts that its partition owner tracks.

An attempt that the reply lists runs or has ended.  One that it does not list is
lost or was never started.  A task that the owner does not track is adopted if
the reply is the worker's first one after a takeover, and otherwise stopped.
"""

from typing import Final, final

from absl import logging

from berylspread.backend import SyncReply, TaskReport
from berylspread.kernel import now
from berylspread.limits import BookedWork, CapacityLedger
from berylspread.model import TERMINAL_STATES, JobKind, TaskState
from berylspread.partition.attempts import (
    Attempt,
    home_unit_of_job,
    parse_task_key,
)
from berylspread.partition.messages import TaskGrant
from berylspread.partition.worker_link import WorkerLink

STOP_MODE: Final = 'stop'


@final
class ReportReader:
    """Applies replies to the attempts and bookings of one partition.

    Nothing is granted before the loop time ``settles_at``: until then, calls
    that the previous owner admitted may still arrive at the workers.
    """

    __slots__ = ('adopted', 'ledger', 'settles_at', 'stray_runs')

    def __init__(self, ledger: CapacityLedger, settles_at: float) -> None:
        self.ledger = ledger
        self.settles_at = settles_at
        self.adopted: set[str] = set()
        self.stray_runs = 0

    def apply_reply(self, link: WorkerLink, reply: SyncReply) -> list[Attempt]:
        """Apply a reply; return the attempts whose state has changed."""
        is_first = link.vm.vm_id not in self.adopted
        self.adopted.add(link.vm.vm_id)
        settled = now() >= self.settles_at
        if settled:
            self.ledger.apply_report(link.vm.vm_id, reply.capacity)
        listed = {report.task: report for report in reply.tasks}
        changed = [
            attempt
            for report in listed.values()
            if (attempt := self._apply_report(link, report, is_first))
            is not None
        ]
        changed.extend(self._resolve_missing(link, reply, listed))
        self._adopt_calls(link, reply, adopts=not settled or is_first)
        for attempt in changed:
            self._release_ended(attempt)
        return changed

    def expire_leases(self, link: WorkerLink) -> list[Attempt]:
        """Mark the attempts as lost whose leases have certainly lapsed.

        Returns these attempts.
        """
        lapsed = [
            attempt
            for attempt in link.attempts.values()
            if not attempt.is_ended
            and attempt not in link.starts
            and attempt.lease_lapses_at < now()
        ]
        for attempt in lapsed:
            attempt.change_state(TaskState.lost, reason='lease lapsed')
            self._release_ended(attempt)
        return lapsed

    def _release_ended(self, attempt: Attempt) -> None:
        if attempt.is_ended:
            self.ledger.release(attempt.name)

    def _apply_report(
        self, link: WorkerLink, report: TaskReport, is_first: bool
    ) -> Attempt | None:
        attempt = link.attempts.get(report.task)
        if attempt is None:
            return self._adopt_or_stop(link, report, is_first)
        if report.attempt != attempt.grant.attempt or attempt.is_ended:
            return None
        attempt.confirmed = True
        attempt.start_may_arrive_until = None
        if report.state is attempt.state:
            return None
        attempt.change_state(
            report.state,
            exit_code=report.exit_code,
            reason=report.reason,
            output=report.output,
            checkpoint=report.checkpoint,
        )
        return attempt

    def _adopt_or_stop(
        self, link: WorkerLink, report: TaskReport, is_first: bool
    ) -> Attempt | None:
        if report.task in link.acknowledged:
            return None
        key = parse_task_key(report.task)
        if key is None or not is_first:
            self._stop_stray_run(link, report)
            return None
        grant = TaskGrant(
            task=key,
            attempt=report.attempt,
            team=report.team,
            queue='',
            job_class=report.job_class,
            kind=JobKind.batch,
            shape=report.shape,
        )
        attempt = Attempt(grant, home_unit_of_job(key.job_id), link.vm.vm_id)
        attempt.confirmed = True
        attempt.lease_lapses_at = link.timing.lease_lapses_at(now(), 0)
        link.attempts[report.task] = attempt
        if report.state not in TERMINAL_STATES:
            self.ledger.adopt(
                link.vm.vm_id,
                report.task,
                report.shape,
                BookedWork(report.team, report.job_class),
            )
        attempt.change_state(
            report.state,
            exit_code=report.exit_code,
            reason=report.reason,
            output=report.output,
            checkpoint=report.checkpoint,
        )
        return attempt

    def _stop_stray_run(self, link: WorkerLink, report: TaskReport) -> None:
        if report.state in TERMINAL_STATES:
            link.acknowledged.add(report.task)
            return
        self.stray_runs += 1
        logging.warning(
            'worker %s runs %s, which its owner does not track; stopping it',
            link.vm.vm_id,
            report.task,
        )
        link.stop_task(report.task, STOP_MODE)

    def _resolve_missing(
        self,
        link: WorkerLink,
        reply: SyncReply,
        listed: dict[str, TaskReport],
    ) -> list[Attempt]:
        missing: list[Attempt] = []
        for attempt in link.attempts.values():
            if attempt.name in listed or attempt.is_ended:
                continue
            change = _state_of_missing(attempt, reply.refused.get(attempt.name))
            if change is not None:
                attempt.change_state(change[0], reason=change[1])
                missing.append(attempt)
        return missing

    def _adopt_calls(
        self, link: WorkerLink, reply: SyncReply, *, adopts: bool
    ) -> None:
        worker = link.vm.vm_id
        prefix = f'adopted-call:{worker}:'
        running = {
            f'{prefix}{call.request_id}.{call.attempt}': call
            for call in reply.calls
        }
        if adopts:
            for key, call in running.items():
                self.ledger.adopt(
                    worker, key, call.shape, BookedWork(call.team)
                )
        view = self.ledger.workers.get(worker)
        for key in list(view.bookings) if view else []:
            if key.startswith(prefix) and key not in running:
                self.ledger.release(key)


def _state_of_missing(
    attempt: Attempt, refusal: str | None
) -> tuple[TaskState, str] | None:
    """Return the new state of an attempt that a reply does not list, if any.

    The second item is the reason for the home; ``None`` means that the start
    may still arrive.
    """
    if refusal is not None:
        return TaskState.pending, refusal
    if attempt.confirmed:
        return TaskState.lost, 'gone from the worker'
    if _never_arrived(attempt):
        return TaskState.pending, 'start not received'
    return None


def _never_arrived(attempt: Attempt) -> bool:
    return (
        attempt.start_may_arrive_until is not None
        and attempt.start_may_arrive_until < now()
    )
