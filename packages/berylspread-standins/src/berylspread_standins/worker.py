"""A backend server as a stand-in: it runs tasks under leases, and calls.

It starts whatever it is given, whether it fits or not.  Its time is the running
loop's, times ``clock_rate``.
"""

import asyncio
import collections
import contextlib
import enum
from typing import Final, final

from berylspread.backend.interface import (
    CallReply,
    CallReport,
    CallRequest,
    SyncReply,
    SyncRequest,
    TaskStart,
    TaskStop,
)
from berylspread.kernel.clock import WallClock, now
from berylspread.kernel.errors import DeadlineExceeded, Failure, StaleEpoch
from berylspread.model import Resources, TaskState, Vm
from berylspread_standins.gate import Gate
from berylspread_standins.observer import Execution, Observer
from berylspread_standins.run import THROTTLED_RATE, Ending, Run
from berylspread_standins.workload import Workload, distort, parse_workload

CONNECTIONS: Final = 64
CORES: Final = 32
MEMORY_GIB: Final = 128
SLOTS: Final = 8
CAPACITY: Final = Resources(CORES * 1000, MEMORY_GIB * 1024, 0, SLOTS)
USAGE_LAG_S: Final = 5.0
#: How long the worker takes to stop, to write a checkpoint and to fail.
STOP_S: Final = 0.1
CHECKPOINT_S: Final = 1.0
FAIL_S: Final = 0.05
#: Attempts that have ended are remembered this long, in seconds.
REMEMBER_S: Final = 600.0
FAULTY_EXIT_CODE: Final = 70
OK_STATUS: Final = 200
FAULTY_STATUS: Final = 500
TIMEOUT_STATUS: Final = 504


@final
class Checks(enum.Flag):
    """What a worker checks before it obeys.

    ``fencing`` rejects epochs below the highest of the same unit; ``deadline``
    rejects starts after their ``not_after``.
    """

    none = 0
    fencing = 1
    deadline = 2
    full = 3


@final
class WorkerFaults:
    """What is wrong with a worker."""

    __slots__ = (
        'fails_all',
        'is_unreachable',
        'lose_answer',
        'run_factor',
        'slow_s',
        'use_factor',
    )

    def __init__(self) -> None:
        """Start without faults."""
        #: Every task fails soon after its start, every call at once.
        self.fails_all = False
        self.is_unreachable = False
        #: Probability that a request has effect and its answer is lost.
        self.lose_answer = 0.0
        #: Added to each answer.
        self.slow_s = 0.0
        #: Tasks started from now on run for this many times their run time,
        #: and use this many times what they declare.
        self.run_factor = 1.0
        self.use_factor = 1.0


@final
class Worker:
    """One worker: its tasks by name, and its calls in flight."""

    __slots__ = (
        'calls',
        'capacity',
        'changed',
        'checks',
        'clock_rate',
        'connections',
        'ended_attempts',
        'epochs',
        'faults',
        'gate',
        'observer',
        'runs',
        'sequence',
        'vm',
        'wall',
    )

    def __init__(
        self,
        vm: Vm,
        *,
        capacity: Resources = CAPACITY,
        checks: Checks = Checks.full,
        observer: Observer | None = None,
        wall: WallClock | None = None,
    ) -> None:
        """Start an empty worker that tells the observer what it runs."""
        self.vm = vm
        self.capacity = capacity
        self.checks = checks
        self.observer = observer or Observer()
        self.wall = wall or WallClock()
        #: Speed of this VM's clock; its leases last longer below 1.
        self.clock_rate = 1.0
        self.connections = CONNECTIONS
        self.faults = WorkerFaults()
        self.gate = Gate()
        self.runs: dict[str, Run] = {}
        self.calls: list[Execution] = []
        self.ended_attempts: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )
        self.epochs: dict[str, int] = {}
        self.sequence = 0
        self.changed = asyncio.Event()
        self.observer.add_worker(vm.vm_id, capacity)

    async def sync(self, request: SyncRequest) -> SyncReply | Failure:
        """Obey one exchange, and answer at the next change or in time."""
        await self.gate.wait()
        stale = self._fence(request.unit, request.epoch)
        if stale is not None:
            return stale
        if self._is_late(request):
            return DeadlineExceeded('the request was held up')
        refused = self._obey(request)
        await asyncio.sleep(self.faults.slow_s)
        await self._wait(request)
        await self.gate.wait()
        return self.report(refused)

    async def call(self, request: CallRequest) -> CallReply | Failure:
        """Run one call for as long as its body says, and echo the body."""
        await self.gate.wait()
        stale = self._fence(request.unit, request.epoch)
        if stale is not None:
            return stale
        workload = parse_workload(request.body)
        execution = self._call_execution(request, workload)
        self.calls.append(execution)
        self.observer.started(execution)
        try:
            status = await self._serve(request, workload)
        finally:
            self._end_call(execution)
        await self.gate.wait()
        return CallReply(
            request.request_id,
            request.attempt,
            status,
            request.body + b' ' * workload.answer_bytes,
            request.content_type,
        )

    def pause(self) -> None:
        """Stand still: nothing is answered, and work makes no progress."""
        self.gate.pause()
        for run in self.runs.values():
            run.set_rate(0)

    def resume(self) -> None:
        """Go on; what lapsed in the pause has ended."""
        for run in self.runs.values():
            run.set_rate(THROTTLED_RATE if run.stop_mode == 'throttle' else 1)
        self.gate.resume()

    def die(self) -> None:
        """Lose the VM with everything on it."""
        self.faults.is_unreachable = True
        for run in list(self.runs.values()):
            run.end(Ending(TaskState.lost, reason='worker-died'))
        for execution in list(self.calls):
            self._end_call(execution)
        self.runs.clear()
        self.epochs.clear()
        self.ended_attempts.clear()

    def report(self, refused: dict[str, str] | None = None) -> SyncReply:
        """Return what the worker holds and runs."""
        offset_s = self.wall.time() - now()
        return SyncReply(
            worker=self.vm.vm_id,
            capacity=self.capacity,
            sequence=self.sequence,
            tasks=[
                run.report(offset_s, USAGE_LAG_S) for run in self.runs.values()
            ],
            refused=refused or {},
            calls=[
                CallReport(
                    execution.name,
                    execution.attempt,
                    execution.team,
                    execution.shape,
                )
                for execution in self.calls
            ],
        )

    def _fence(self, unit: str, epoch: int) -> StaleEpoch | None:
        highest = max(epoch, self.epochs.get(unit, 0))
        self.epochs[unit] = highest
        if epoch >= highest or Checks.fencing not in self.checks:
            return None
        return StaleEpoch('older epoch', unit=unit, epoch=epoch, newest=highest)

    def _is_late(self, request: SyncRequest) -> bool:
        checks = Checks.deadline in self.checks and request.not_after > 0
        return checks and self.wall.time() > request.not_after

    def _obey(self, request: SyncRequest) -> dict[str, str]:
        for run in _known(self.runs, request.acknowledged):
            if run.is_over:
                self.runs.pop(run.start.task)
        lease_s = request.lease_s / self.clock_rate
        for run in _known(self.runs, request.renew):
            run.renew(lease_s)
        for stop in request.stops:
            self._stop(stop)
        return {
            start.task: reason
            for start in request.starts
            if (reason := self._start(start))
        }

    def _start(self, start: TaskStart) -> str:
        """Start a task unless it is known, and return why not."""
        late = Checks.deadline in self.checks
        if late and self.wall.time() > start.not_after:
            return 'not-after'
        if self._is_known(start):
            return ''
        if start.task in self.runs and not self.runs[start.task].is_over:
            return 'already-running'
        if self._has_ended(start):
            return 'already-ended'
        workload = distort(
            parse_workload(start.payload),
            start.shape,
            run_factor=self.faults.run_factor,
            use_factor=self.faults.use_factor,
        )
        execution = Execution(
            self.vm.vm_id,
            start.task,
            start.attempt,
            start.team,
            start.shape,
            is_once=not workload.idempotent,
        )
        self.observer.started(execution)
        run = Run(start, workload, execution, self._run_ended)
        self.runs[start.task] = run
        run.renew(start.lease_s / self.clock_rate)
        if self.faults.fails_all:
            failed = Ending(TaskState.failed, FAULTY_EXIT_CODE, 'faulty worker')
            asyncio.get_running_loop().call_later(FAIL_S, run.end, failed)
        self._note_change()
        return ''

    def _stop(self, stop: TaskStop) -> None:
        run = self.runs.get(stop.task)
        if run is None or run.is_over or run.stop_mode == stop.mode:
            return
        run.stop_mode = stop.mode
        if stop.mode == 'throttle':
            run.set_rate(THROTTLED_RATE)
            return
        run.state = TaskState.stopping
        delay_s = STOP_S
        if stop.mode == 'checkpoint' and run.workload.checkpointable:
            delay_s = CHECKPOINT_S
        asyncio.get_running_loop().call_later(delay_s, self._stopped, run)
        self._note_change()

    def _stopped(self, run: Run) -> None:
        written = run.stop_mode == 'checkpoint' and not self.gate.is_paused
        run.end(
            Ending(
                TaskState.cancelled,
                reason=run.stop_mode,
                checkpoint=run.checkpoint() if written else '',
            )
        )

    def _run_ended(self, run: Run) -> None:
        self.observer.ended(run.execution)
        self.ended_attempts[run.start.task] = (run.start.attempt, now())
        self.ended_attempts.move_to_end(run.start.task)
        while self.ended_attempts:
            _, ended_at = next(iter(self.ended_attempts.values()))
            if now() - ended_at <= REMEMBER_S:
                break
            self.ended_attempts.popitem(last=False)
        self._note_change()

    def _is_known(self, start: TaskStart) -> bool:
        known = self.runs.get(start.task)
        return known is not None and known.start.attempt >= start.attempt

    def _has_ended(self, start: TaskStart) -> bool:
        attempt, _ = self.ended_attempts.get(start.task, (-1, 0.0))
        return start.attempt <= attempt

    def _note_change(self) -> None:
        self.sequence += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def _wait(self, request: SyncRequest) -> None:
        if request.wait_s <= 0:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(request.wait_s):
                while self.sequence <= request.seen:
                    await self.changed.wait()

    async def _serve(self, request: CallRequest, workload: Workload) -> int:
        await asyncio.sleep(self.faults.slow_s)
        if self.faults.fails_all:
            return FAULTY_STATUS
        run_s = workload.run_s or 0.0
        await asyncio.sleep(min(run_s, request.timeout_s))
        return OK_STATUS if run_s <= request.timeout_s else TIMEOUT_STATUS

    def _call_execution(
        self, request: CallRequest, workload: Workload
    ) -> Execution:
        return Execution(
            self.vm.vm_id,
            request.request_id,
            request.attempt,
            request.team,
            request.shape,
            is_once=not workload.idempotent,
            is_call=True,
        )

    def _end_call(self, execution: Execution) -> None:
        if execution in self.calls:
            self.calls.remove(execution)
            self.observer.ended(execution)


def _known(runs: dict[str, Run], tasks: list[str]) -> list[Run]:
    return [runs[task] for task in tasks if task in runs]
