"""Steps for the reader and for publishing snapshots."""

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine
from typing import Any

from behave import given, then, when
from behave.runner import Context

from berylspread.kernel import now
from berylspread.kernel.errors import LogGap
from berylspread.log import (
    Batch,
    ClusterState,
    JobAccepted,
    LogReader,
    PublisherSettings,
    SnapshotPublisher,
    encode_batch,
)
from berylspread.log.records import SnapshotPart, decode_batch
from berylspread.log.rendezvous import rendezvous
from berylspread.log.snapshot import compress_state, split_snapshot
from berylspread.model import JobKind, JobSpec, Resources
from berylspread_standins.log_service import Retention
from berylspread_standins.virtual_time import VirtualTimeLoop
from features.log.world import World, key_record

SETTLE_S = 3.0
MINUTE_S = 60


class LogWriter:
    """Logs records at once, and keeps a full replay beside the log."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.sequence = 0
        self.full = ClusterState()

    def log(self, count: int) -> None:
        for _ in range(count):
            self.publish(key_record(self.sequence))

    def publish(self, *records) -> None:
        self.sequence += 1
        batch = Batch('writer', self.sequence, list(records))
        self.world.service.publish(encode_batch(batch))
        self.follow()

    def follow(self) -> None:
        for entry in list(self.world.service.entries):
            if entry.offset > self.full.offset:
                self.full.apply_entry(entry)

    def snapshot(self, parts: int = 3, left_out: int = 0) -> None:
        """Log the state in parts; an incomplete set leaves out the last."""
        self.follow()
        blob = compress_state(self.full.to_wire())
        covers = self.full.offset
        size = -(-len(blob) // parts)
        found = list(split_snapshot(f's{covers}', covers, blob, size))
        for part in found[: len(found) - left_out]:
            self.publish(part)


class ReaderScenario:
    """A scenario's world, its writer, client and reader."""

    def __init__(self, retention: Retention | None = None) -> None:
        self.world = World(retention)
        self.writer = LogWriter(self.world)
        self.client = self.world.client()
        self.reader: LogReader | None = None

    async def follow(self, **limits) -> LogReader:
        self.reader = self.world.reader(self.client, **limits)
        await asyncio.sleep(1)
        return self.reader


def begin_world(context: Context, retention: Retention | None = None):
    """Open a loop in virtual time that lasts for the scenario."""
    runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
    context.add_cleanup(runner.close)
    context.runner = runner
    context.following = ReaderScenario(retention)
    context.add_cleanup(lambda: runner.run(context.following.world.close()))


def play(
    context: Context,
    action: Callable[[ReaderScenario], Coroutine[Any, Any, None]],
):
    """Run an action; what it started goes on during the next one."""
    if not hasattr(context, 'following'):
        begin_world(context)
    context.runner.run(action(context.following))


@given('a reader that follows a log of {count:d} records')
def step_following(context: Context, count: int):
    async def begin(following: ReaderScenario):
        following.writer.log(count)
        await following.follow()

    play(context, begin)


async def outage(following: ReaderScenario, seconds: float):
    following.world.service.is_down = True
    await asyncio.sleep(seconds)
    following.world.service.is_down = False


async def slow(following: ReaderScenario, seconds: float):
    following.world.service.slow_s = 0.3
    await asyncio.sleep(seconds)
    following.world.service.slow_s = 0.0


async def lost(following: ReaderScenario, seconds: float):
    following.client.faults.is_cut = True
    await asyncio.sleep(seconds)
    following.client.faults.is_cut = False


EVENTS = {'an outage': outage, 'slow answers': slow, 'lost answers': lost}
UNITS_S = {'s': 1, 'h': 3600}


@when('{event} of {length:d} {unit} happens while records are logged')
@when('{event} for {length:d} {unit} happens while records are logged')
def step_event(context: Context, event: str, length: int, unit: str):
    async def happen(following: ReaderScenario):
        logging = following.world.start_task(log_slowly(following))
        await EVENTS[event](following, length * UNITS_S[unit])
        logging.cancel()

    play(context, happen)


async def log_slowly(following: ReaderScenario):
    while True:
        following.writer.log(1)
        await asyncio.sleep(0.5)


def assert_equal(reader: LogReader, full: ClusterState):
    assert reader.state.to_wire() == full.to_wire(), (
        reader.state.offset,
        full.offset,
        reader.failure,
    )


@then('within 3 s after it the state equals a full replay')
def step_equal(context: Context):
    async def check(following: ReaderScenario):
        await asyncio.sleep(SETTLE_S)
        assert_equal(following.reader, following.writer.full)

    play(context, check)


@when('an outage lasts for {seconds:d} s')
def step_outage(context: Context, seconds: int):
    async def happen(following: ReaderScenario):
        following.began = now()
        following.world.service.is_down = True
        await asyncio.sleep(seconds)
        following.ended = now()
        following.status = following.reader.status
        following.age_s = now() - following.reader.fresh_at

    play(context, happen)


@then('the state was fresh before the outage and its age grew to {age_s:d} s')
def step_age(context: Context, age_s: int):
    following = context.following
    assert age_s <= following.age_s <= age_s + 1.5, following.age_s


@then('the reader\'s status during the outage was "{status}"')
def step_status(context: Context, status: str):
    assert context.following.status.value == status


@when(
    'it is cut off while {before:d} records, a snapshot and {after:d} records'
    ' are logged'
)
def step_cut_snapshot(context: Context, before: int, after: int):
    async def happen(following: ReaderScenario):
        following.client.faults.is_cut = True
        following.writer.log(before)
        following.writer.snapshot()
        following.writer.log(after)
        await asyncio.sleep(MINUTE_S)

    play(context, happen)


@when('it is cut off while {count:d} records are logged')
def step_cut(context: Context, count: int):
    async def happen(following: ReaderScenario):
        following.client.faults.is_cut = True
        following.writer.log(count)
        await asyncio.sleep(MINUTE_S)

    play(context, happen)


@given('the log keeps only the last {count:d} entries')
@when('the log keeps only the last {count:d} entries')
def step_cut_retention(context: Context, count: int):
    async def happen(following: ReaderScenario):
        service = following.world.service
        service.cut_retention(service.end - count)
        following.client.faults.is_cut = False

    play(context, happen)


@then('the reader saw {count:d} gap')
def step_gaps(context: Context, count: int):
    assert context.following.reader.gap_count == count


@then("the reader's failure is a LogGap and the state stays as it was")
def step_gap(context: Context):
    async def check(following: ReaderScenario):
        before = following.reader.state.offset
        await asyncio.sleep(SETTLE_S)
        assert isinstance(following.reader.failure, LogGap)
        assert following.reader.state.offset == before == 50
        fresh_s = now() - following.reader.fresh_at
        assert fresh_s > SETTLE_S, fresh_s

    play(context, check)


@when('a node that has all records publishes a snapshot')
def step_publish(context: Context):
    async def happen(following: ReaderScenario):
        following.writer.snapshot()

    play(context, happen)


@given('a log whose newest snapshot lacks its last part')
def step_incomplete(context: Context):
    async def begin(following: ReaderScenario):
        following.writer.log(100)
        following.writer.snapshot()
        following.writer.log(50)
        following.writer.snapshot(left_out=1)
        following.writer.log(10)
        following.world.service.cut_retention(90)

    play(context, begin)


@when('a node starts')
def step_start(context: Context):
    async def begin(following: ReaderScenario):
        await following.follow()

    play(context, begin)


@then('it began from the older snapshot')
def step_older(context: Context):
    following = context.following
    assert following.reader.state.offset > 160
    assert following.client.service.first == 90


@given('a log of {count:d} records with a snapshot before the last {tail:d}')
def step_snapshot(context: Context, count: int, tail: int):
    async def begin(following: ReaderScenario):
        following.writer.log(count - tail)
        following.writer.snapshot()
        following.writer.log(tail)

    play(context, begin)


@given('a log of {count:d} records')
def step_log(context: Context, count: int):
    async def begin(following: ReaderScenario):
        following.writer.log(count)

    play(context, begin)


@then('it read at most {count:d} entries')
def step_read(context: Context, count: int):
    following = context.following
    size = len(following.world.service.entries[-1].blob)
    read = following.reader.source.read_bytes / size
    assert read <= count, read


@when('a node starts with a budget of {budget:d} bytes a second')
def step_budget(context: Context, budget: int):
    async def begin(following: ReaderScenario):
        client = following.client
        following.page_bytes = 5000
        reader = following.world.reader(
            client, catch_up_bytes_s=budget, page_bytes=5000
        )
        following.reader = reader
        await reader.started.wait()
        following.samples = []
        searched = reader.source.read_bytes
        began = now()
        while reader.state.offset < following.writer.full.offset:
            await asyncio.sleep(0.1)
            read = reader.source.read_bytes - searched
            following.samples.append((now() - began, read))

    play(context, begin)


@then('it read at most {budget:d} bytes a second and {pages:d} pages more')
def step_budget_kept(context: Context, budget: int, pages: int):
    following = context.following
    slack = pages * following.page_bytes * 2
    assert following.samples
    for seconds, read in following.samples:
        assert read <= budget * seconds + slack, (seconds, read)


@when('the log is replaced by an empty one')
def step_replaced(context: Context):
    async def happen(following: ReaderScenario):
        service = following.world.service
        service.entries.clear()
        service.first = 1
        await asyncio.sleep(SETTLE_S)

    play(context, happen)


@given('a log that keeps {seconds:d} s of entries')
def step_retention(context: Context, seconds: int):
    async def begin(following: ReaderScenario):
        following.nodes = {}

    begin_world(context, Retention(age_s=seconds))
    play(context, begin)


@given('{count:d} nodes that publish snapshots for a retention of {age:d} s')
def step_publishers(context: Context, count: int, age: int):
    async def begin(following: ReaderScenario):
        names = [f'n{number}' for number in range(count)]
        order = rendezvous('snapshot', names)
        for rank, name in enumerate(order):
            start_publisher(following, name, rank, age)
        await asyncio.sleep(1)

    play(context, begin)


def start_publisher(
    following: ReaderScenario, name: str, rank: int, age_s: float
):
    world = following.world
    client = world.client()
    reader = world.reader(client)
    appender = world.appender(name, client)
    appender.subscribe_to(reader.state)
    publisher = SnapshotPublisher(
        reader,
        appender,
        lambda: rank,
        world.wall,
        PublisherSettings(retention_s=age_s),
    )
    task = world.start_task(publisher.run())
    following.nodes[rank] = (reader, publisher, task)


@when('the node whose turn it is stops')
def step_stop(context: Context):
    async def happen(following: ReaderScenario):
        following.nodes[0][2].cancel()

    play(context, happen)


@when('{count:d} records are logged every second for {minutes:d} minutes')
def step_every_second(context: Context, count: int, minutes: int):
    async def happen(following: ReaderScenario):
        for _ in range(minutes * MINUTE_S):
            following.writer.log(count)
            await asyncio.sleep(1)

    play(context, happen)


@when(
    '{count:d} records are logged and nothing follows for {minutes:d} minutes'
)
def step_idle(context: Context, count: int, minutes: int):
    async def happen(following: ReaderScenario):
        following.writer.log(count)
        await asyncio.sleep(minutes * MINUTE_S)

    play(context, happen)


@then('within 3 s after it the state equals that of the nodes')
def step_equals_nodes(context: Context):
    async def check(following: ReaderScenario):
        await asyncio.sleep(SETTLE_S)
        reader = following.nodes[1][0]
        assert following.world.service.first > 1
        assert len(reader.state.keys.active) >= 20
        assert_equal(following.reader, reader.state)

    play(context, check)


@then('at most {count:d} snapshots were published')
def step_published(context: Context, count: int):
    published = [
        node[1].published_count for node in context.following.nodes.values()
    ]
    assert 0 < sum(published) <= count, published


@given('a state of {size:d} incompressible bytes')
def step_big_state(context: Context, size: int):
    rng = random.Random(2)

    async def begin(following: ReaderScenario):
        for number in range(20):
            payload = rng.randbytes(size // 40).hex()
            spec = JobSpec(
                job_id=f'j{number}',
                team='proofs',
                queue='q',
                kind=JobKind.batch,
                tasks=1,
                shape=Resources(1),
                home='teams/a/0',
                submitted_at=0.0,
                payload=payload,
            )
            following.writer.publish(JobAccepted(spec))

    play(context, begin)


def first_rank() -> int:
    return 0


@when('it is published with {share:d} percent of {rate:d} appends a second')
def step_publish_share(context: Context, share: int, rate: int):
    async def happen(following: ReaderScenario):
        reader = await following.follow()
        appender = following.world.appender(
            'publisher', following.client, min_interval_s=0.0
        )
        publisher = SnapshotPublisher(
            reader,
            appender,
            first_rank,
            following.world.wall,
            PublisherSettings(appends_per_s=rate, share_percent=share),
        )
        assert await publisher.publish()

    play(context, happen)


def logged_parts(following: ReaderScenario) -> list[tuple[float, SnapshotPart]]:
    return [
        (entry.appended_at, record)
        for entry in following.world.service.entries
        for record in decode_batch(entry.blob).records
        if isinstance(record, SnapshotPart)
    ]


@then('its parts are at least {seconds:g} s apart')
def step_apart(context: Context, seconds: float):
    times = [at for at, _part in logged_parts(context.following)]
    gaps = [later - at for at, later in itertools.pairwise(times)]
    assert len(times) > 4
    assert min(gaps) >= seconds - 1e-6, gaps


@then('each part is below {size:d} bytes')
def step_part_size(context: Context, size: int):
    entries = context.following.world.service.entries
    assert max(len(entry.blob) for entry in entries) < size
