"""Counted bytes of messages, exchanges and records; no clock is read."""

from collections.abc import Callable

import msgspec

from bench.capacity import samples
from bench.capacity.fit import Line, fit
from berylspread.backend import SyncRequest
from berylspread.log import JobAccepted, JobEnded, TasksEnded
from berylspread.log.records import Batch, Claim, Record, encode_batch
from berylspread.model import TaskState
from berylspread.partition.messages import (
    CapacityReport,
    DemandUpdate,
    PullAsk,
    PullLine,
    PullReply,
    TaskEvents,
)
from berylspread.peers import Codec, Message

COUNTS = (1, 4, 16, 64)
#: Envelope around a peer message, as in the stand-in network.
ENVELOPE_BYTES = 40

_codec = Codec()


def message_bytes(body: Message) -> int:
    """Return the bytes of a peer message with its envelope."""
    return len(_codec.encode(body)[1]) + ENVELOPE_BYTES


def record_bytes(*records: Record) -> int:
    """Return the bytes of one append."""
    return len(encode_batch(Batch('pekalongan-1.3', 7, list(records))))


def measure() -> dict[str, Line]:
    """Return the byte lines by name; the slope is per counted item."""
    return {name: _line(count) for name, count in _COUNTED.items()}


def _line(count: Callable[[int], int]) -> Line:
    return fit([(size, count(size)) for size in COUNTS])


def _starts(size: int) -> int:
    request = SyncRequest(
        samples.PARTITION.unit,
        samples.PARTITION.epoch,
        starts=[samples.start(index) for index in range(size)],
        lease_s=15.0,
    )
    return len(msgspec.json.encode(request))


def _pull_ask(size: int) -> int:
    lines = [PullLine(f'{index:016x}', 4) for index in range(size)]
    return message_bytes(PullAsk(samples.PARTITION, samples.HOME, 311, lines))


def _pull_reply(size: int) -> int:
    grants = [[samples.grant(index) for index in range(size)]]
    return message_bytes(PullReply(311, grants, [], [], 7))


def _demand(size: int) -> int:
    classes = [samples.demand(index) for index in range(size)]
    return message_bytes(DemandUpdate(samples.HOME, 7, classes, []))


def _uses(size: int) -> int:
    uses = [samples.use(index) for index in range(size)]
    return message_bytes(DemandUpdate(samples.HOME, 7, [], uses))


def _events(size: int) -> int:
    events = [samples.event(index) for index in range(size)]
    return message_bytes(TaskEvents(samples.PARTITION, samples.HOME, events))


def _capacity(size: int) -> int:
    report = CapacityReport(
        samples.PARTITION,
        24,
        samples.WORKER_CAPACITY,
        samples.WORKER_CAPACITY,
        samples.WORKER_CAPACITY,
    )
    return size * message_bytes(report)


def _jobs(size: int) -> int:
    return record_bytes(
        *(JobAccepted(samples.spec(index)) for index in range(size)),
        *(
            JobEnded(samples.job_id(index), TaskState.succeeded)
            for index in range(size)
        ),
    )


def _ends(size: int) -> int:
    ends = tuple(samples.end(index) for index in range(size))
    return record_bytes(TasksEnded(samples.job_id(1), ends))


def _claims(size: int) -> int:
    return record_bytes(
        *(
            Claim(f'workers/central-java/rack-{index}', 9, samples.NODE, 3)
            for index in range(size)
        )
    )


_COUNTED: dict[str, Callable[[int], int]] = {
    'renew_request_bytes_per_task': lambda size: len(
        msgspec.json.encode(samples.renewal(size))
    ),
    'renew_reply_bytes_per_task': lambda size: len(
        msgspec.json.encode(samples.reply(size))
    ),
    'start_request_bytes_per_start': _starts,
    'pull_ask_bytes_per_line': _pull_ask,
    'pull_reply_bytes_per_grant': _pull_reply,
    'demand_bytes_per_class': _demand,
    'demand_bytes_per_team': _uses,
    'events_bytes_per_event': _events,
    'capacity_report_bytes_per_unit': _capacity,
    'log_bytes_per_job': _jobs,
    'log_bytes_per_task_end': _ends,
    'log_bytes_per_claim': _claims,
    'config_bytes_per_team': lambda size: len(samples.document(size)),
}
