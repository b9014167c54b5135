"""Reads the records of earlier coordinators while it fences their topic.

Load pattern: a store whose replies take 0.3 s, while callers wait for the
successor.  The reads do not wait for the fence.  Its offset shows whether the
records that were read are all that earlier epochs have written; if not, the
rest is read.
"""

import asyncio
from typing import Final, final

from berylspread.coordinator.fenced_log import FencedLog
from berylspread.coordinator.interface import Batch, KeyedStore, Snapshot
from berylspread.kernel.errors import Failure, LogGap

LOAD_TIMEOUT_S: Final = 3.0


@final
class StoredState:
    """The newest records of the jobs' topic and of the workers' topic."""

    __slots__ = ('jobs', 'workers')

    def __init__(self, jobs: Snapshot, workers: Snapshot) -> None:
        self.jobs = jobs
        self.workers = workers


async def fence_and_read(
    fenced_log: FencedLog, workers_topic: str
) -> StoredState | Failure:
    """Raise the epoch of the jobs' topic and return what the topics hold.

    The jobs' records contain all changes of earlier epochs.
    """
    store, jobs_topic = fenced_log.store, fenced_log.topic
    fencing = asyncio.create_task(fenced_log.raise_epoch())
    reads = [
        asyncio.create_task(store.read_newest(topic, timeout_s=LOAD_TIMEOUT_S))
        for topic in (jobs_topic, workers_topic)
    ]
    try:
        failure = await fencing
        if failure is not None:
            return failure
        jobs, workers = [await read for read in reads]
    finally:
        for task in (fencing, *reads):
            task.cancel()
    if not isinstance(workers, Snapshot):
        return workers
    if isinstance(jobs, Snapshot) and not _is_complete(jobs, fenced_log):
        jobs = await _read_rest(store, jobs_topic, jobs)
    return StoredState(jobs, workers) if isinstance(jobs, Snapshot) else jobs


def _is_complete(snapshot: Snapshot, fenced_log: FencedLog) -> bool:
    offset = fenced_log.first_offset
    return offset is not None and snapshot.end >= offset


async def _read_rest(
    store: KeyedStore, topic: str, snapshot: Snapshot
) -> Snapshot | Failure:
    """Return a snapshot with the records since then, in a topic at rest."""
    items = {item.key: item for item in snapshot.items}
    end = snapshot.end
    while True:
        batch = await store.read_from(
            topic, end, wait_s=0, timeout_s=LOAD_TIMEOUT_S
        )
        if isinstance(batch, LogGap):
            return await store.read_newest(topic, timeout_s=LOAD_TIMEOUT_S)
        if not isinstance(batch, Batch):
            return batch
        for item in batch.items:
            items[item.key] = item
            end = item.offset + 1
        if end >= batch.end or not batch.items:
            newest = [item for item in items.values() if item.blob]
            return Snapshot(newest, end)
