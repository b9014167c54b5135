"""Makes changes of the job table durable, in batches, fenced by the epoch."""

import asyncio
import random
from typing import Final, final

from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.interface import (
    KeyedStore,
    Producer,
    Record,
    StoreRejected,
)
from berylspread.coordinator.model import Job, Step
from berylspread.coordinator.records import (
    encode_job,
    encode_step,
    job_key,
    step_key,
)
from berylspread.kernel.clock import WallClock, now
from berylspread.kernel.errors import Failure, NotOwner

PRODUCER: Final = 'coordinator'
#: An append without an answer is repeated after a multiple of what answers
#: have lately taken, within these bounds: a repeat is harmless, and the lower
#: bound is several answers from the other region.
LEAST_TIMEOUT_S: Final = 0.25
MOST_TIMEOUT_S: Final = 1.5
TIMEOUT_ANSWERS: Final = 4
#: Weight of the newest answer in the moving mean.
ANSWER_WEIGHT: Final = 0.2
#: After this time of failed appends the store counts as out of service: several
#: repeats of an append whose answer was lost fit into it.
STALL_S: Final = 0.6
#: Pause before an append is repeated, up to twice as much by jitter.
RETRY_S: Final = 0.05
#: Payload bytes after which a batch is closed; below the store's limit a call.
BATCH_BYTES: Final = 1_000_000
MS: Final = 1000


@final
class Committer:
    """Appends what has changed; one append is in flight at a time.

    A change is marked by ``job`` or ``step``.  The future that they return is
    done once the change is stored, with ``None`` or the failure that ended the
    coordinator's authority.
    """

    __slots__ = (
        'answer_s',
        'appended',
        'deposed',
        'drops',
        'epoch',
        'jobs',
        'log',
        'next_done',
        'seq',
        'stalled_since',
        'steps',
        'store',
        'timeout_s',
        'topic',
        'wake',
        'wall',
    )

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        epoch: int,
        wall: WallClock,
        log: DecisionLog,
    ) -> None:
        """Take the topic and the epoch that fences the appends."""
        self.store = store
        self.topic = topic
        self.epoch = epoch
        self.wall = wall
        self.log = log
        self.seq = 0
        self.jobs: dict[str, Job] = {}
        self.steps: dict[str, Step] = {}
        self.drops: set[str] = set()
        self.wake = asyncio.Event()
        self.next_done: asyncio.Future[Failure | None] = _future()
        self.deposed: Failure | None = None
        self.answer_s = 0.0
        self.timeout_s = LEAST_TIMEOUT_S
        #: When the append that still fails was first sent.
        self.stalled_since: float | None = None
        #: Bytes of the records that were stored.
        self.appended = 0

    def job(self, job: Job) -> asyncio.Future[Failure | None]:
        """Store a job's record."""
        self.jobs[job.spec.job_id] = job
        return self._pending()

    def step(self, step: Step) -> asyncio.Future[Failure | None]:
        """Store a step's record."""
        self.steps[step.name] = step
        return self._pending()

    def drop(self, key: str) -> None:
        """Drop a record with the next append."""
        self.drops.add(key)

    async def fence(self) -> Failure | None:
        """Raise the epoch of the topic, so that older appends are refused."""
        return await self._append([])

    async def run(self) -> Failure:
        """Append until the authority is lost; return why."""
        while self.deposed is None:
            await self.wake.wait()
            self.wake.clear()
            while self.deposed is None and (
                self.jobs or self.steps or self.drops
            ):
                await self._flush()
        return self.deposed

    def depose(self, failure: Failure) -> None:
        """End the authority: what waits is answered by the failure."""
        self.deposed = failure
        self.wake.set()
        if not self.next_done.done():
            self.next_done.set_result(failure)

    def _pending(self) -> asyncio.Future[Failure | None]:
        self.wake.set()
        return self.next_done

    async def _flush(self) -> None:
        done, self.next_done = self.next_done, _future()
        failure = await self._append(self._take())
        if failure is not None and self.deposed is None:
            self.depose(failure)
        if not done.done():
            done.set_result(failure)

    def _take(self) -> list[Record]:
        wall_ms = int(self.wall.time() * MS)
        records: list[Record] = [
            (job_key(name), encode_job(job, wall_ms))
            for name, job in self.jobs.items()
        ]
        # Steps of a job that has ended are dropped with it.
        records.extend(
            (
                step_key(step),
                b'' if step.job.status.is_final else encode_step(step),
            )
            for step in self.steps.values()
        )
        records.extend((key, b'') for key in self.drops)
        self.jobs, self.steps, self.drops = {}, {}, set()
        return records

    async def _append(self, records: list[Record]) -> Failure | None:
        for chunk in _chunks(records):
            self.seq += 1
            failure = await self._append_surely(chunk)
            if failure is not None:
                return failure
        return None

    def is_stalled(self) -> bool:
        """Return whether the store has not taken an append for a while."""
        since = self.stalled_since
        return since is not None and now() - since >= STALL_S

    def _learn(self, took_s: float) -> None:
        self.stalled_since = None
        self.answer_s += ANSWER_WEIGHT * (took_s - self.answer_s)
        self.timeout_s = min(
            max(TIMEOUT_ANSWERS * self.answer_s, LEAST_TIMEOUT_S),
            MOST_TIMEOUT_S,
        )

    async def _append_surely(self, records: list[Record]) -> Failure | None:
        # The sequence number makes a repeat harmless.
        producer = Producer(PRODUCER, self.epoch, self.seq)
        while self.deposed is None:
            sent_at = now()
            reply = await self.store.append(
                self.topic,
                records,
                producer=producer,
                timeout_s=self.timeout_s,
            )
            if isinstance(reply, StoreRejected):
                return NotOwner(f'epoch {self.epoch} is over: {reply.reason}')
            if not isinstance(reply, Failure):
                self._learn(now() - sent_at)
                self.log.measures.observe('append', now() - sent_at)
                self.appended += sum(len(blob) for _, blob in records)
                return None
            self.timeout_s = min(2 * self.timeout_s, MOST_TIMEOUT_S)
            if self.stalled_since is None:
                self.stalled_since = sent_at
            self.log.write('append-retry', seq=self.seq, reason=reply.reason)
            await asyncio.sleep(RETRY_S * (1 + random.random()))
        return self.deposed


async def stored_by(
    stored: asyncio.Future[Failure | None],
) -> Failure | None:
    """Wait for a change to be stored; return why it was not.

    Many wait for one future: a waiter that is cancelled must not cancel it.
    """
    return await asyncio.shield(stored)


def _chunks(records: list[Record]) -> list[list[Record]]:
    chunks: list[list[Record]] = [[]]
    size = 0
    for record in records:
        if size > BATCH_BYTES:
            chunks.append([])
            size = 0
        chunks[-1].append(record)
        size += len(record[1])
    return chunks


def _future() -> asyncio.Future[Failure | None]:
    return asyncio.get_running_loop().create_future()
