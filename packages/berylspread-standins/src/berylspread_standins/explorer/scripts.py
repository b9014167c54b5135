"""What happens in every schedule of a script, beside the choices."""

from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Final

import msgspec

from berylspread_standins.coordinated.fleet import DEFAULT_ZONE, TOPICS

if TYPE_CHECKING:
    from berylspread_standins.explorer.world import World

Script = Callable[['World'], Coroutine[Any, Any, None]]
SCRIPTS: Final[dict[str, Script]] = {}

#: How long a coordinator is cut from the store.
CUT_S: Final = 2.5
#: How long the store delays every reply, and by how much.
SLOW_S: Final = 3.0
SLOW_REPLY_S: Final = 0.4
RESTART_S: Final = 0.5
#: When the workers are lost; the first job is then running.
LOST_AFTER_S: Final = 0.6
#: How long it takes until others join, longer than a lease.
REPLACED_AFTER_S: Final = 9.0
#: Cuts of workers, longer than a lease, one after the other.
WORKER_CUTS: Final = 4
WORKER_CUT_S: Final = 4.6
#: Changes of the coordinator, and the time between them.
KILLS_IN_TURN: Final = 3
BETWEEN_KILLS_S: Final = 2.5
#: How long a zone is closed: longer than starts may go on there.
CLOSED_S: Final = 8.0
OTHER_ZONE: Final = 'other'
#: Work of a task; later steps of the jobs become ready in the closed zone.
LONG_WORK_S: Final = 3.0
#: How long a queue is sent to another service.
MOVED_S: Final = 1.5
#: More runs of a gang than a schedule has.
ALWAYS: Final = 100
#: The time until members of a gang have failed.
FAILED_S: Final = 0.55


def script(name: str) -> Callable[[Script], Script]:
    """Return a decorator that registers a script."""

    def register(function: Script) -> Script:
        SCRIPTS[name] = function
        return function

    return register


@script('calm')
async def stay_calm(world: 'World') -> None:
    """Change nothing."""


@script('kill')
async def kill_coordinator(world: 'World') -> None:
    """Kill the coordinator and start its node again."""
    name = world.coordinator()
    if name is not None:
        world.kill(name)
        await world.sleep(RESTART_S)
        world.start_node(name)


@script('cut')
async def cut_coordinator(world: 'World') -> None:
    """Cut the coordinator from the store for a while."""
    name = world.coordinator()
    if name is not None:
        world.fleet.nodes[name].view.is_cut = True
        await world.sleep(CUT_S)
        world.fleet.nodes[name].view.is_cut = False


@script('leave')
async def stop_coordinator(world: 'World') -> None:
    """Stop the coordinator as planned work does."""
    name = world.coordinator()
    if name is not None:
        await world.fleet.nodes[name].node.leave()


@script('slow')
async def slow_store(world: 'World') -> None:
    """Slow the store down, so that changes overlap."""
    normal_s = world.fleet.store.answer_s
    world.fleet.store.answer_s = SLOW_REPLY_S
    await world.sleep(SLOW_S)
    world.fleet.store.answer_s = normal_s


@script('replace')
async def replace_workers(world: 'World') -> None:
    """Lose all workers; others under new names join when leases are over."""
    await world.sleep(LOST_AFTER_S)
    names = list(world.fleet.workers)
    for name in names:
        world.lose_worker(name)
    await world.sleep(REPLACED_AFTER_S)
    for name in names:
        world.fleet.add_worker(f'new-{name}')


@script('cuts')
async def cut_workers(world: 'World') -> None:
    """Cut off the worker of the newest run, again and again."""
    for _ in range(WORKER_CUTS):
        await world.sleep(LOST_AFTER_S)
        worker = world.newest_worker()
        if worker is not None:
            worker.is_cut = True
            await world.sleep(WORKER_CUT_S)
            worker.is_cut = False


@script('in-turn')
async def kill_in_turn(world: 'World') -> None:
    """Lose all workers, and then one coordinator after the other."""
    await world.sleep(LOST_AFTER_S)
    names = list(world.fleet.workers)
    for name in names:
        world.lose_worker(name)
    for _ in range(KILLS_IN_TURN):
        await kill_coordinator(world)
        await world.sleep(BETWEEN_KILLS_S)
    for name in names:
        world.fleet.add_worker(f'new-{name}')


@script('zones')
async def close_zones(world: 'World') -> None:
    """Close the zone of all workers, lose the coordinator, swap zones."""
    fleet = world.fleet
    for task in fleet.work:
        fleet.work[task] = (LONG_WORK_S, 'done')
    fleet.close_zone(DEFAULT_ZONE)
    await world.sleep(CLOSED_S / 2)
    await kill_coordinator(world)
    await world.sleep(CLOSED_S / 2)
    fleet.add_worker('other', zone=OTHER_ZONE)
    fleet.close_zone(OTHER_ZONE)
    fleet.open_zone(DEFAULT_ZONE)
    fleet.store.forget(TOPICS.config)
    await world.sleep(CLOSED_S)
    fleet.open_zone(OTHER_ZONE)


@script('move')
async def move_queue(world: 'World') -> None:
    """Send the queue to another service, drop it, and send it back."""
    world.fleet.add_worker('annex', service='annex')
    queue = world.queue()
    moved = msgspec.structs.replace(queue, service='annex')
    for version, newest in enumerate((moved, None, queue), 2):
        await world.sleep(MOVED_S)
        world.fleet.configure(version, newest)


@script('gangs')
async def fail_gangs(world: 'World') -> None:
    """Let members of gangs fail together, and kill the coordinator then."""
    await world.submit_gang('fails-once', 1)
    await world.submit_gang('fails', ALWAYS)
    await world.sleep(FAILED_S)
    await kill_coordinator(world)
