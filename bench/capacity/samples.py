"""Typical contents: names, jobs, tasks, reports and a document."""

from berylspread.backend import SyncRequest, TaskStart
from berylspread.backend.interface import SyncReply, TaskReport
from berylspread.model import (
    JobKind,
    JobSpec,
    NodeRef,
    Resources,
    TaskEnd,
    TaskKey,
    TaskState,
    Vm,
    VmRole,
)
from berylspread.partition.messages import TaskEvent, TaskGrant, UnitEpoch
from berylspread.placement.demand import DemandClass, TeamUsage

SHAPE = Resources(1000, 2048, 0, 1)
WORKER_CAPACITY = Resources(32_000, 131_072, 2, 64)
PAYLOAD = '{"image":"registry/label-print:41","args":["--batch","7341"]}'
CLASS_ID = '0123456789abcdef'
HOME = UnitEpoch('teams/central-java/2', 17)
PARTITION = UnitEpoch('workers/central-java/pekalongan-rack-1', 9)
NODE = NodeRef('pekalongan-1', 3)


def job_id(number: int) -> str:
    """Return a job's id as an entry node makes it."""
    return f'central-java.2.{number:032x}'


def vm(number: int) -> Vm:
    """Return a listed worker."""
    return Vm(
        f'pekalongan-rack-1-{number}',
        VmRole.worker,
        f'10.1.{number >> 8}.{number & 255}:8000',
        'central-java',
        'pekalongan',
        'pekalongan-rack-1',
    )


def spec(number: int, tasks: int = 1) -> JobSpec:
    """Return an accepted batch job."""
    return JobSpec(
        job_id=job_id(number),
        team=f'team-{number % 340}',
        queue='label-print',
        kind=JobKind.batch,
        tasks=tasks,
        shape=SHAPE,
        home=HOME.unit,
        submitted_at=1_800_000_000.5,
        expected_run_s=17.0,
        job_class='label-print',
        payload=PAYLOAD,
        request_id=f'{number:032x}',
    )


def grant(number: int) -> TaskGrant:
    """Return one handed-out task."""
    return TaskGrant(
        task=TaskKey(job_id(number), number),
        attempt=1,
        team=f'team-{number % 340}',
        queue='label-print',
        job_class='label-print',
        kind=JobKind.batch,
        shape=Resources(1000, 2048, 0, 1),
        expected_run_s=17.0,
        payload=PAYLOAD,
    )


def start(number: int) -> TaskStart:
    """Return a start for a worker."""
    return TaskStart(
        task=f'{job_id(number)}/{number}',
        attempt=1,
        team=f'team-{number % 340}',
        job_class='label-print',
        shape=SHAPE,
        payload=PAYLOAD,
        lease_s=15.0,
        not_after=1_800_000_002.25,
    )


def report(number: int) -> TaskReport:
    """Return what a worker says of a running task."""
    return TaskReport(
        f'{job_id(number)}/{number}',
        1,
        f'team-{number % 340}',
        'label-print',
        SHAPE,
        TaskState.running,
        1_800_000_000.25,
        used=Resources(990, 1980, 0, 1),
    )


def renewal(tasks: int) -> SyncRequest:
    """Return the exchange that renews a worker's leases."""
    return SyncRequest(
        PARTITION.unit,
        PARTITION.epoch,
        renew=[f'{job_id(index)}/{index}' for index in range(tasks)],
        lease_s=15.0,
        seen=311,
        wait_s=3.75,
    )


def reply(tasks: int) -> SyncReply:
    """Return a worker's answer."""
    return SyncReply(
        vm(17).vm_id,
        WORKER_CAPACITY,
        311,
        [report(index) for index in range(tasks)],
    )


def event(number: int, state: TaskState = TaskState.running) -> TaskEvent:
    """Return a change of an attempt."""
    return TaskEvent(
        TaskKey(job_id(number), number), 1, state, vm(number).vm_id
    )


def end(number: int) -> TaskEnd:
    """Return how a task ended."""
    return TaskEnd(number, TaskState.succeeded)


def demand(number: int) -> DemandClass:
    """Return a pending class."""
    return DemandClass(
        class_id=f'{number:016x}',
        home=HOME.unit,
        home_epoch=HOME.epoch,
        team=f'team-{number % 340}',
        queue='label-print',
        job_class='label-print',
        kind=JobKind.batch,
        shape=SHAPE,
        count=100,
        oldest_age_s=2.5,
        expected_run_s=17.0,
    )


def use(number: int) -> TeamUsage:
    """Return a team's use."""
    return TeamUsage(f'team-{number}', 0.0029411, 0.00271828, 0.0031415)


def document(teams: int, *, shards: int = 4, limit_tasks: int = 4000) -> str:
    """Return a production document; each team has three queues."""
    head = [
        '[environment]\nname = production\n',
        *(
            f'[region {region}]\nweight = 1\n'
            for region in ('central-java', 'east-java', 'west-java')
        ),
        *(
            f'[zone {zone}]\nregion = {region}\n'
            for zone, region in (
                ('pekalongan', 'central-java'),
                ('batang', 'central-java'),
                ('sidoarjo', 'east-java'),
            )
        ),
        '[worker-class desk]\ncpu = 32\nmemory_gib = 128\nslots = 64\n',
        '[organisation sales]\nshare = 100\n',
        f'[limits]\nshards = {shards}\n',
    ]
    return '\n'.join(
        [*head, *(_team(number, limit_tasks) for number in range(teams))]
    )


def _team(number: int, limit_tasks: int) -> str:
    return (
        f'[team team-{number}]\norganisation = sales\nshare = 0.25\n'
        f'limit_cpu = {limit_tasks}\nlimit_tasks = {limit_tasks}\n\n'
        f'[queue batch-{number}]\nteam = team-{number}\nkind = batch\n'
        'region = central-java\ncpu = 0.1\nmemory_gib = 0.1\n\n'
        f'[queue serve-{number}]\nteam = team-{number}\nkind = service\n'
        'region = central-java\ncpu = 0.1\nmemory_gib = 0.1\n\n'
        f'[queue call-{number}]\nteam = team-{number}\nkind = interactive\n'
        'cpu = 0.1\nmemory_gib = 0.1\n'
    )
