"""Steps for the folded state."""

from typing import Any

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as property_given
from hypothesis import strategies as st

from berylspread.log import (
    AllotmentMoved,
    Batch,
    Claim,
    ClusterState,
    ConfigApplied,
    ElectorateChanged,
    Entry,
    JobAccepted,
    JobCancelled,
    JobEnded,
    KeyCreated,
    KeyWithdrawn,
    Record,
    Release,
    SnapshotPart,
    TasksEnded,
    TasksStarted,
    decode_state,
    encode_batch,
    encode_state,
)
from berylspread.model import (
    JobKind,
    JobSpec,
    NodeRef,
    Resources,
    TaskEnd,
    TaskState,
)

UNIT = 'workers/a/1'
HOUR_S = 3600.0
EMPTY_BLOB = b''
DOCUMENT = """
[region a]
weight = 2
[region b]
[team proofs]
limit_tasks = {limit}
limit_cpu = {limit}.5
"""


def job_spec(job_id: str, tasks: int = 3) -> JobSpec:
    return JobSpec(
        job_id=job_id,
        team='proofs',
        queue='pattern-run',
        kind=JobKind.batch,
        tasks=tasks,
        shape=Resources(1000, 512),
        home='teams/a/0',
        submitted_at=1.0,
    )


class Log:
    """Entries with consecutive offsets, one batch each."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []

    def append(self, *records: Record, at: float = 0.0) -> int:
        offset = len(self.entries) + 1
        batch = Batch('writer', offset, list(records))
        self.entries.append(Entry(offset, encode_batch(batch), at))
        return offset

    def fold(self) -> ClusterState:
        state = ClusterState()
        for entry in self.entries:
            state.apply_entry(entry)
        return state


def context_log(context: Context) -> Log:
    if not hasattr(context, 'log'):
        context.log = Log()
    return context.log


nodes = st.builds(NodeRef, st.sampled_from('ab'), st.integers(1, 2))
jobs = st.sampled_from(('j1', 'j2', 'j3'))
indexes = st.integers(-1, 4)
ends = st.builds(
    TaskEnd, indexes, st.sampled_from((TaskState.succeeded, TaskState.lost))
)
documents = st.builds(
    lambda limit: DOCUMENT.format(limit=limit), st.integers(0, 50)
)
records = st.one_of(
    st.builds(
        ConfigApplied,
        st.sampled_from(('trial', 'production')),
        st.integers(0, 12),
        documents,
    ),
    st.builds(KeyCreated, jobs, st.just('proofs'), st.just(b'digest')),
    st.builds(KeyWithdrawn, jobs),
    st.builds(
        ElectorateChanged, st.just('a'), st.integers(1, 3), st.tuples(nodes)
    ),
    st.builds(Claim, st.just(UNIT), st.integers(1, 4), nodes, st.just(1)),
    st.builds(Release, st.just(UNIT), st.integers(1, 4), nodes),
    st.builds(JobAccepted, st.builds(job_spec, jobs)),
    st.builds(JobCancelled, jobs),
    st.builds(TasksStarted, jobs, st.tuples(indexes)),
    st.builds(TasksEnded, jobs, st.tuples(ends)),
    st.builds(JobEnded, jobs, st.just(TaskState.succeeded)),
    st.builds(
        AllotmentMoved,
        st.just('proofs'),
        st.sampled_from('ab'),
        st.sampled_from('ab'),
        st.builds(Resources, st.integers(0, 9), slots=st.integers(-1, 9)),
    ),
    st.just(SnapshotPart('s', 1, 0, 2, b'part')),
)


@st.composite
def logs(draw: Any) -> list[Entry]:
    """Entries with batches of two writers; any batch may be repeated later."""
    sequences = {'v': 0, 'w': 0}
    blobs: list[bytes] = []
    for _ in range(draw(st.integers(1, 14))):
        if blobs and draw(st.booleans()):
            blobs.append(draw(st.sampled_from(blobs)))
            continue
        writer = draw(st.sampled_from('vw'))
        sequences[writer] += 1
        content = draw(st.lists(records, min_size=1, max_size=3))
        blobs.append(encode_batch(Batch(writer, sequences[writer], content)))
    return [
        Entry(offset, blob, offset * HOUR_S)
        for offset, blob in enumerate(blobs, 1)
    ]


@when('random records are logged by writers that repeat their batches')
def step_logs(context: Context):
    context.logs = logs()


@then('at every cut a snapshot and the tail give the state of a full replay')
def step_cuts(context: Context):
    @property_given(context.logs)
    def check(entries: list[Entry]) -> None:
        full = ClusterState()
        snapshots = [encode_state(full.to_wire())]
        for entry in entries:
            full.apply_entry(entry)
            snapshots.append(encode_state(full.to_wire()))
        for cut, blob in enumerate(snapshots):
            state = ClusterState()
            state.restore(decode_state(blob))
            for entry in entries[cut:]:
                state.apply_entry(entry)
            assert encode_state(state.to_wire()) == snapshots[-1], cut

    check()


@then('the state is as if the repeated batches were not there')
def step_repeats(context: Context):
    context.repeats = 0

    @property_given(context.logs)
    def check(entries: list[Entry]) -> None:
        with_repeats, without = ClusterState(), ClusterState()
        seen: set[bytes] = set()
        for entry in entries:
            with_repeats.apply_entry(entry)
            blob = EMPTY_BLOB if entry.blob in seen else entry.blob
            without.apply_entry(Entry(entry.offset, blob, entry.appended_at))
            context.repeats += entry.blob in seen
            seen.add(entry.blob)
        assert with_repeats.to_wire() == without.to_wire()

    check()
    assert context.repeats > 100


@given('a document and a transfer of {tasks:d} tasks from region a to region b')
def step_transfer(context: Context, tasks: int):
    log = context_log(context)
    log.append(ConfigApplied('production', 0, DOCUMENT.format(limit=30)))
    amount = Resources(slots=tasks)
    log.append(AllotmentMoved('proofs', 'a', 'b', amount))


@when('the batch of the transfer is logged {times:d} times more')
def step_repeat(context: Context, times: int):
    entries = context.log.entries
    for _ in range(times):
        entries.append(Entry(len(entries) + 1, entries[1].blob))


@then('region b has {tasks:d} tasks more than by weight')
def step_more(context: Context, tasks: int):
    state = context.log.fold()
    assert state.allotment('proofs', 'b').slots == 10 + tasks
    assert state.duplicate_batches == 2


@given('the claims {claims} are logged')
def step_claims(context: Context, claims: str):
    log = context_log(context)
    for claim in claims.split():
        log.append(Claim(UNIT, int(claim[1:]), NodeRef(claim[0], 1), 1))


@then('the unit is owned by "{owner}" in epoch {epoch:d}')
def step_owner(context: Context, owner: str, epoch: int):
    owner_and_epoch = context.log.fold().owner(UNIT)
    expected = None if owner == 'none' else (NodeRef(owner, 1), epoch)
    assert owner_and_epoch == expected, owner_and_epoch


@given('documents made from the bases {bases} are logged')
def step_documents(context: Context, bases: str):
    log = context_log(context)
    for base in bases.split():
        log.append(ConfigApplied('production', int(base), DOCUMENT))


@then('the versions in force came from the documents {accepted}')
def step_versions(context: Context, accepted: str):
    state = context.log.fold()
    history = [found.version for found in state.configs.history('production')]
    assert history == [int(number) for number in accepted.split()], history
    lost = {entry.offset for entry in context.log.entries} - set(history)
    for offset in lost:
        assert state.configs.find_refusal('production', offset)


@given('a job of {tasks:d} tasks is accepted')
def step_job(context: Context, tasks: int):
    context_log(context).append(JobAccepted(job_spec('j1', tasks)))


@when('task {index:d} ends as {first} and then as {second}')
def step_ends(context: Context, index: int, first: str, second: str):
    for state in (first, second):
        end = TaskEnd(index, TaskState(state))
        context.log.append(TasksEnded('j1', (end,)))


@when('task {index:d} ends as failed')
def step_end(context: Context, index: int):
    end = TaskEnd(index, TaskState.failed)
    context.log.append(TasksEnded('j1', (end,)))


@then("the job's ended tasks are {index:d} as {state}")
def step_ended(context: Context, index: int, state: str):
    job = context.log.fold().jobs.active['j1']
    assert job.terminal_states == {index: TaskState(state)}, job.terminal_states


@when('the same job is accepted again after it ended')
def step_again(context: Context):
    context.log.append(JobEnded('j1', TaskState.succeeded))
    context.log.append(JobAccepted(job_spec('j1')))


@when('it ended and another job ends 25 h later')
def step_later(context: Context):
    context.log.append(JobEnded('j1', TaskState.succeeded), at=HOUR_S)
    context.log.append(JobAccepted(job_spec('j2')), at=HOUR_S)
    context.log.append(JobEnded('j2', TaskState.succeeded), at=26 * HOUR_S)


@then('no job is active and {count:d} job has ended')
def step_no_job(context: Context, count: int):
    state = context.log.fold()
    assert not state.jobs.active
    assert len(state.jobs.ended) == count, state.jobs.ended


@when('an entry of random bytes is logged before a claim')
def step_garbage(context: Context):
    log = context_log(context)
    log.entries.append(Entry(1, b'\xff\x00 not a batch'))
    step_claims(context, 'a1')


@then('the claim is in the state and 1 entry is counted as undecodable')
def step_undecodable(context: Context):
    state = context.log.fold()
    assert state.owner(UNIT) == (NodeRef('a', 1), 1)
    assert state.undecodable_entries == 1
