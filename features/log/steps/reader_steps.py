"""Steps for the reader and the publisher of snapshots."""

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
    """Writes records to the log at once, and replays the whole log itself."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.sequence = 0
        self.replayed = ClusterState()

    def log_records(self, count: int) -> None:
        for _ in range(count):
            self.publish(key_record(self.sequence))

    def publish(self, *records) -> None:
        self.sequence += 1
        batch = Batch('writer', self.sequence, list(records))
        self.world.service.publish(encode_batch(batch))
        self.update_replay()

    def update_replay(self) -> None:
        for entry in list(self.world.service.entries):
            if entry.offset > self.replayed.offset:
                self.replayed.apply_entry(entry)

    def log_snapshot(self, parts: int = 3, left_out: int = 0) -> None:
        """Log the state in parts, without the last ``left_out`` ones."""
        self.update_replay()
        blob = compress_state(self.replayed.to_wire())
        covers = self.replayed.offset
        size = -(-len(blob) // parts)
        all_parts = list(split_snapshot(f's{covers}', covers, blob, size))
        for part in all_parts[: len(all_parts) - left_out]:
            self.publish(part)


class ReaderFixture:
    """The world of a scenario with its writer, client and reader."""

    def __init__(self, retention: Retention | None = None) -> None:
        self.world = World(retention)
        self.writer = LogWriter(self.world)
        self.client = self.world.client()
        self.reader: LogReader | None = None

    async def start_reader(self, **limits) -> LogReader:
        self.reader = self.world.reader(self.client, **limits)
        await asyncio.sleep(1)
        return self.reader


def create_fixture(context: Context, retention: Retention | None = None):
    """Create an event loop in virtual time that lasts for the scenario."""
    runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
    context.add_cleanup(runner.close)
    context.runner = runner
    context.fixture = ReaderFixture(retention)
    context.add_cleanup(lambda: runner.run(context.fixture.world.close()))


def run_action(
    context: Context,
    action: Callable[[ReaderFixture], Coroutine[Any, Any, None]],
):
    """Run an action; tasks that it starts go on during the next action."""
    if not hasattr(context, 'fixture'):
        create_fixture(context)
    context.runner.run(action(context.fixture))


@given('a reader that follows a log of {count:d} records')
def step_following(context: Context, count: int):
    async def prepare(fixture: ReaderFixture):
        fixture.writer.log_records(count)
        await fixture.start_reader()

    run_action(context, prepare)


async def cause_outage(fixture: ReaderFixture, seconds: float):
    fixture.world.service.is_down = True
    await asyncio.sleep(seconds)
    fixture.world.service.is_down = False


async def slow_replies(fixture: ReaderFixture, seconds: float):
    fixture.world.service.slow_s = 0.3
    await asyncio.sleep(seconds)
    fixture.world.service.slow_s = 0.0


async def lose_replies(fixture: ReaderFixture, seconds: float):
    fixture.client.faults.is_cut = True
    await asyncio.sleep(seconds)
    fixture.client.faults.is_cut = False


EVENTS = {
    'an outage': cause_outage,
    'slow replies': slow_replies,
    'lost replies': lose_replies,
}
UNITS_S = {'s': 1, 'h': 3600}


@when('{event} of {length:d} {unit} happens while records are logged')
@when('{event} for {length:d} {unit} happens while records are logged')
def step_event(context: Context, event: str, length: int, unit: str):
    async def act(fixture: ReaderFixture):
        logging_task = fixture.world.start_task(log_periodically(fixture))
        await EVENTS[event](fixture, length * UNITS_S[unit])
        logging_task.cancel()

    run_action(context, act)


async def log_periodically(fixture: ReaderFixture):
    while True:
        fixture.writer.log_records(1)
        await asyncio.sleep(0.5)


def assert_equal(reader: LogReader, replayed: ClusterState):
    assert reader.state.to_wire() == replayed.to_wire(), (
        reader.state.offset,
        replayed.offset,
        reader.failure,
    )


@then('within 3 s the state equals a full replay')
def step_equal(context: Context):
    async def check(fixture: ReaderFixture):
        await asyncio.sleep(SETTLE_S)
        assert_equal(fixture.reader, fixture.writer.replayed)

    run_action(context, check)


@when('an outage lasts for {seconds:d} s')
def step_outage(context: Context, seconds: int):
    async def act(fixture: ReaderFixture):
        fixture.outage_began_at = now()
        fixture.world.service.is_down = True
        await asyncio.sleep(seconds)
        fixture.outage_ended_at = now()
        fixture.status = fixture.reader.status
        fixture.age_s = now() - fixture.reader.fresh_at

    run_action(context, act)


@then('the state was fresh before the outage and its age grew to {age_s:d} s')
def step_age(context: Context, age_s: int):
    fixture = context.fixture
    assert age_s <= fixture.age_s <= age_s + 1.5, fixture.age_s


@then('the reader\'s status during the outage was "{status}"')
def step_status(context: Context, status: str):
    assert context.fixture.status.value == status


@when(
    'the reader is cut off while {before:d} records, a snapshot and {after:d}'
    ' records are logged'
)
def step_cut_snapshot(context: Context, before: int, after: int):
    async def act(fixture: ReaderFixture):
        fixture.client.faults.is_cut = True
        fixture.writer.log_records(before)
        fixture.writer.log_snapshot()
        fixture.writer.log_records(after)
        await asyncio.sleep(MINUTE_S)

    run_action(context, act)


@when('the reader is cut off while {count:d} records are logged')
def step_cut(context: Context, count: int):
    async def act(fixture: ReaderFixture):
        fixture.client.faults.is_cut = True
        fixture.writer.log_records(count)
        await asyncio.sleep(MINUTE_S)

    run_action(context, act)


@given('the log keeps only the last {count:d} entries')
@when('the log keeps only the last {count:d} entries')
def step_cut_retention(context: Context, count: int):
    async def act(fixture: ReaderFixture):
        service = fixture.world.service
        service.cut_retention(service.end - count)
        fixture.client.faults.is_cut = False

    run_action(context, act)


@then('the reader recorded {count:d} gap')
def step_gaps(context: Context, count: int):
    assert context.fixture.reader.gap_count == count


@then("the reader's failure is a LogGap and the state stays as it was")
def step_gap(context: Context):
    async def check(fixture: ReaderFixture):
        before = fixture.reader.state.offset
        await asyncio.sleep(SETTLE_S)
        assert isinstance(fixture.reader.failure, LogGap)
        assert fixture.reader.state.offset == before == 50
        fresh_s = now() - fixture.reader.fresh_at
        assert fresh_s > SETTLE_S, fresh_s

    run_action(context, check)


@when('a node that has all records publishes a snapshot')
def step_publish(context: Context):
    async def act(fixture: ReaderFixture):
        fixture.writer.log_snapshot()

    run_action(context, act)


@given('a log whose newest snapshot lacks its last part')
def step_incomplete(context: Context):
    async def prepare(fixture: ReaderFixture):
        fixture.writer.log_records(100)
        fixture.writer.log_snapshot()
        fixture.writer.log_records(50)
        fixture.writer.log_snapshot(left_out=1)
        fixture.writer.log_records(10)
        fixture.world.service.cut_retention(90)

    run_action(context, prepare)


@when('a node starts')
def step_start(context: Context):
    async def prepare(fixture: ReaderFixture):
        await fixture.start_reader()

    run_action(context, prepare)


@then('it started from the older snapshot')
def step_older(context: Context):
    fixture = context.fixture
    assert fixture.reader.state.offset > 160
    assert fixture.client.service.first == 90


@given('a log of {count:d} records with a snapshot before the last {tail:d}')
def step_snapshot(context: Context, count: int, tail: int):
    async def prepare(fixture: ReaderFixture):
        fixture.writer.log_records(count - tail)
        fixture.writer.log_snapshot()
        fixture.writer.log_records(tail)

    run_action(context, prepare)


@given('a log of {count:d} records')
def step_log(context: Context, count: int):
    async def prepare(fixture: ReaderFixture):
        fixture.writer.log_records(count)

    run_action(context, prepare)


@then('it read at most {count:d} entries')
def step_read(context: Context, count: int):
    fixture = context.fixture
    size = len(fixture.world.service.entries[-1].blob)
    read = fixture.reader.source.read_bytes / size
    assert read <= count, read


@when('a node starts with a budget of {budget:d} bytes a second')
def step_budget(context: Context, budget: int):
    async def prepare(fixture: ReaderFixture):
        client = fixture.client
        fixture.page_bytes = 5000
        reader = fixture.world.reader(
            client, catch_up_bytes_s=budget, page_bytes=5000
        )
        fixture.reader = reader
        await reader.started.wait()
        fixture.samples = []
        search_bytes = reader.source.read_bytes
        began_at = now()
        while reader.state.offset < fixture.writer.replayed.offset:
            await asyncio.sleep(0.1)
            read = reader.source.read_bytes - search_bytes
            fixture.samples.append((now() - began_at, read))

    run_action(context, prepare)


@then('it read at most {budget:d} bytes a second and {pages:d} pages more')
def step_budget_kept(context: Context, budget: int, pages: int):
    fixture = context.fixture
    slack = pages * fixture.page_bytes * 2
    assert fixture.samples
    for seconds, read in fixture.samples:
        assert read <= budget * seconds + slack, (seconds, read)


@when('the log is replaced by an empty one')
def step_replaced(context: Context):
    async def act(fixture: ReaderFixture):
        service = fixture.world.service
        service.entries.clear()
        service.first = 1
        await asyncio.sleep(SETTLE_S)

    run_action(context, act)


@given('a log that keeps {seconds:d} s of entries')
def step_retention(context: Context, seconds: int):
    async def prepare(fixture: ReaderFixture):
        fixture.nodes = {}

    create_fixture(context, Retention(age_s=seconds))
    run_action(context, prepare)


@given('{count:d} nodes that publish snapshots for a retention of {age:d} s')
def step_publishers(context: Context, count: int, age: int):
    async def prepare(fixture: ReaderFixture):
        names = [f'n{number}' for number in range(count)]
        order = rendezvous('snapshot', names)
        for rank, name in enumerate(order):
            start_publisher(fixture, name, rank, age)
        await asyncio.sleep(1)

    run_action(context, prepare)


def start_publisher(fixture: ReaderFixture, name: str, rank: int, age_s: float):
    world = fixture.world
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
    fixture.nodes[rank] = (reader, publisher, task)


@when('the node that publishes first stops')
def step_stop(context: Context):
    async def act(fixture: ReaderFixture):
        fixture.nodes[0][2].cancel()

    run_action(context, act)


@when('{count:d} records are logged every second for {minutes:d} minutes')
def step_every_second(context: Context, count: int, minutes: int):
    async def act(fixture: ReaderFixture):
        for _ in range(minutes * MINUTE_S):
            fixture.writer.log_records(count)
            await asyncio.sleep(1)

    run_action(context, act)


@when(
    '{count:d} records are logged and nothing follows for {minutes:d} minutes'
)
def step_idle(context: Context, count: int, minutes: int):
    async def act(fixture: ReaderFixture):
        fixture.writer.log_records(count)
        await asyncio.sleep(minutes * MINUTE_S)

    run_action(context, act)


@then('within 3 s the state equals that of the nodes')
def step_equals_nodes(context: Context):
    async def check(fixture: ReaderFixture):
        await asyncio.sleep(SETTLE_S)
        reader = fixture.nodes[1][0]
        assert fixture.world.service.first > 1
        assert len(reader.state.keys.active) >= 20
        assert_equal(fixture.reader, reader.state)

    run_action(context, check)


@then('at most {count:d} snapshots were published')
def step_published(context: Context, count: int):
    published = [
        node[1].published_count for node in context.fixture.nodes.values()
    ]
    assert 0 < sum(published) <= count, published


@given('a state of {size:d} incompressible bytes')
def step_big_state(context: Context, size: int):
    rng = random.Random(2)

    async def prepare(fixture: ReaderFixture):
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
            fixture.writer.publish(JobAccepted(spec))

    run_action(context, prepare)


def first_rank() -> int:
    return 0


@when('it is published with {share:d} percent of {rate:d} appends a second')
def step_publish_share(context: Context, share: int, rate: int):
    async def act(fixture: ReaderFixture):
        reader = await fixture.start_reader()
        appender = fixture.world.appender(
            'publisher', fixture.client, min_interval_s=0.0
        )
        publisher = SnapshotPublisher(
            reader,
            appender,
            first_rank,
            fixture.world.wall,
            PublisherSettings(appends_per_s=rate, share_percent=share),
        )
        assert await publisher.publish()

    run_action(context, act)


def logged_parts(fixture: ReaderFixture) -> list[tuple[float, SnapshotPart]]:
    return [
        (entry.appended_at, record)
        for entry in fixture.world.service.entries
        for record in decode_batch(entry.blob).records
        if isinstance(record, SnapshotPart)
    ]


@then('its parts are at least {seconds:g} s apart')
def step_apart(context: Context, seconds: float):
    times = [at for at, _part in logged_parts(context.fixture)]
    gaps = [later - at for at, later in itertools.pairwise(times)]
    assert len(times) > 4
    assert min(gaps) >= seconds - 1e-6, gaps


@then('each part is below {size:d} bytes')
def step_part_size(context: Context, size: int):
    entries = context.fixture.world.service.entries
    assert max(len(entry.blob) for entry in entries) < size
