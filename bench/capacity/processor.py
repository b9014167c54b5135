"""Processor time of single steps, without sockets.

Run as ``python -m bench.capacity.processor '{}'``; times are seconds.
"""

import json
import time
from collections.abc import Callable
from typing import Any

import msgspec
from absl import logging

from bench.capacity import samples
from bench.capacity.fit import Line, fit
from bench.capacity.subprocesses import run_module
from berylspread.backend import SyncReply
from berylspread.config import parse_document
from berylspread.limits import CapacityLedger, FreeIndex
from berylspread.log import ConfigApplied, JobAccepted, JobEnded, TasksEnded
from berylspread.log.interface import Entry
from berylspread.log.records import Batch, Record, encode_batch
from berylspread.log.snapshot import compress_state
from berylspread.log.state import ClusterState
from berylspread.model import TaskState
from berylspread.partition.messages import PullReply, TaskEvents
from berylspread.peers import Codec, Message
from berylspread.placement import DemandQueue, Pipeline, default_policy

MIN_S = 0.05
ROUNDS = 3


def measure() -> dict[str, Line]:
    """Return the lines by name, from one fresh process."""
    found: dict[str, Any] = run_module('processor', {})
    return {name: fit(points) for name, points in found.items()}


def cost(step: Callable[[], object]) -> float:
    """Return the least processor time of a step in several rounds."""
    return min(_round(step) for _ in range(ROUNDS))


def _round(step: Callable[[], object]) -> float:
    count = 0
    began = time.process_time()
    while (spent := time.process_time() - began) < MIN_S:
        step()
        count += 1
    return spent / count


def _renewals(size: int) -> float:
    request, reply = samples.renewal(size), samples.reply(size)
    encoder = msgspec.json.Encoder()
    decoder = msgspec.json.Decoder(SyncReply)
    blob = encoder.encode(reply)
    return cost(lambda: (encoder.encode(request), decoder.decode(blob)))


def _round_trip(body: Message) -> float:
    codec = Codec()
    return cost(lambda: codec.decode(*codec.encode(body)))


def _grants(size: int) -> float:
    grants = [[samples.grant(index) for index in range(size)]]
    return _round_trip(PullReply(1, grants, [], [], 1))


def _events(size: int) -> float:
    events = [samples.event(index) for index in range(size)]
    return _round_trip(TaskEvents(samples.PARTITION, samples.HOME, events))


def _records(jobs: int) -> list[Record]:
    records: list[Record] = []
    for index in range(jobs):
        records.append(JobAccepted(samples.spec(index)))
        records.append(TasksEnded(samples.job_id(index), (samples.end(0),)))
        records.append(JobEnded(samples.job_id(index), TaskState.succeeded))
    return records


def _replay(size: int) -> float:
    blobs = [
        encode_batch(Batch('writer', index, [record]))
        for index, record in enumerate(_records(size), start=1)
    ]

    def fold() -> ClusterState:
        state = ClusterState()
        for index, blob in enumerate(blobs, start=1):
            state.apply_entry(Entry(index, blob, float(index)))
        return state

    return cost(fold)


def state_of_jobs(jobs: int, tasks: int = 1) -> ClusterState:
    """Return a state with queued jobs."""
    state = ClusterState()
    for index in range(1, jobs + 1):
        record = JobAccepted(samples.spec(index, tasks))
        blob = encode_batch(Batch('writer', index, [record]))
        state.apply_entry(Entry(index, blob, float(index)))
    return state


def _snapshot(size: int) -> float:
    state = state_of_jobs(size)
    return cost(lambda: compress_state(state.to_wire()))


def snapshot_bytes(size: int) -> float:
    """Return the size of a compressed snapshot of queued jobs."""
    return len(compress_state(state_of_jobs(size).to_wire()))


def _config(size: int) -> float:
    text = samples.document(size)
    blob = encode_batch(Batch('w', 1, [ConfigApplied('production', 0, text)]))

    def apply() -> object:
        state = ClusterState()
        state.apply_entry(Entry(1, blob, 1.0))
        return state.document

    return cost(apply)


def _check(size: int) -> float:
    text = samples.document(size)
    return cost(lambda: parse_document('production', text))


def decisions(workers: int, count: int = 200) -> FreeIndex:
    """Place one class ``count`` times on a fleet; return the index."""
    index = FreeIndex()
    ledger = CapacityLedger(samples.PARTITION.unit, index)
    for number in range(workers):
        vm = samples.vm(number)
        ledger.add_worker(vm)
        ledger.apply_report(vm.vm_id, samples.WORKER_CAPACITY)
    pipeline = Pipeline.from_options(default_policy())
    assert isinstance(pipeline, Pipeline)
    queue = DemandQueue()
    demand = msgspec.structs.replace(samples.demand(1), count=count)
    queue.update_home(demand.home, [demand], 0)
    for number in range(count):
        decision = pipeline.next_decision(queue, index, 0)
        assert decision is not None
        ledger.book(decision.worker, str(number), demand.shape)
    return index


def _placement(size: int) -> float:
    build = cost(lambda: decisions(size, 1))
    return (cost(lambda: decisions(size, 200)) - build) / 199


_LINES: dict[str, tuple[Callable[[int], float], tuple[int, ...]]] = {
    'cpu_s_renewal_codec_per_task': (_renewals, (1, 4, 16, 64)),
    'cpu_s_grant_codec_per_task': (_grants, (1, 4, 16, 64)),
    'cpu_s_event_codec_per_event': (_events, (1, 4, 16, 64)),
    'cpu_s_replay_per_job': (_replay, (100, 200, 400)),
    'cpu_s_snapshot_per_job': (_snapshot, (100, 400, 1600)),
    'snapshot_bytes_per_job': (snapshot_bytes, (100, 400, 1600)),
    'cpu_s_config_fold_per_team': (_config, (40, 85, 170, 340)),
    'cpu_s_config_check_per_team': (_check, (40, 85, 170, 340)),
    'cpu_s_decision_per_worker': (_placement, (100, 400, 1200, 2300)),
}


def main() -> None:
    """Print the points of every line."""
    logging.set_verbosity(logging.FATAL)
    found = {
        name: [(size, measured(size)) for size in sizes]
        for name, (measured, sizes) in _LINES.items()
    }
    print(json.dumps(found))


if __name__ == '__main__':
    main()
