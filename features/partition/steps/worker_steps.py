"""Steps about workers that die, are paused or are cut off."""

from behave import then, when
from behave.runner import Context

from berylspread.backend import SyncRequest, TaskStart
from berylspread.model import Resources
from berylspread_standins.worker import Worker
from features.support.fault_steps import report
from features.support.fault_world import FaultWorld

STRAY = 'central-java.0.stray/0'
#: Seconds since the epoch.
FAR_FUTURE = 4e9


def inject_fault(world: FaultWorld, worker: Worker, fault: str) -> None:
    """Inject a fault."""
    if fault == 'dead':
        worker.die()
    elif fault == 'paused':
        worker.pause()
    elif fault == 'losing its replies':
        worker.faults.lose_answer = 1.0
    else:
        world.cluster.network.cut(owner_of(world, worker), worker.vm.vm_id)


def end_fault(
    world: FaultWorld, worker: Worker, fault: str, owner: str
) -> None:
    """End a fault."""
    if fault == 'paused':
        worker.resume()
    elif fault == 'unreachable from the owner':
        world.cluster.network.heal(owner, worker.vm.vm_id)
    worker.faults.lose_answer = 0.0
    worker.faults.is_unreachable = False


def owner_of(world: FaultWorld, worker: Worker) -> str:
    """Return the node that owns a worker's rack."""
    return world.owner_name(world.partition_of(worker.vm.vm_id))


@when('a worker of the job is {fault} for {seconds:g} s')
def step_fault(context: Context, fault: str, seconds: float) -> None:
    world = context.world
    worker = world.worker(world.runs_of(world.job)[0].worker)
    owner = owner_of(world, worker)
    world.broken_at = world.time()
    world.call_soon(lambda: inject_fault(world, worker, fault))
    world.sleep(seconds)
    world.call_soon(lambda: end_fault(world, worker, fault, owner))


@when('a worker starts a task that its owner does not know')
def step_stray(context: Context) -> None:
    world = context.world
    run = world.runs_of(world.job)[0]
    worker = world.worker(run.worker)
    unit = world.partition_of(run.worker)
    start = TaskStart(
        task=STRAY,
        attempt=1,
        team='accounts',
        job_class='ledger',
        shape=Resources(1000, 1024, 0, 1),
        payload='{"run_s": 500}',
        lease_s=600.0,
        not_after=FAR_FUTURE,
        resume_from='',
    )
    request = SyncRequest(
        unit=unit,
        epoch=world.partition(unit).tenure.epoch,
        starts=[start],
        lease_s=600.0,
    )
    world.broken_at = world.time()
    world.run(worker.sync(request))
    assert STRAY in world.cluster.observer.running


@then('within {limit:g} s the unknown task is stopped')
def step_stray_stopped(context: Context, limit: float) -> None:
    world = context.world
    running = world.cluster.observer.running
    world.wait(lambda: STRAY not in running, limit)
    report(context, world.time() - world.broken_at)
