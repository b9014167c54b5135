"""Steps for tickets, keys and drains."""

from behave import then, when
from behave.runner import Context

from berylspread.entry.tickets import TicketCategory
from berylspread.model import TaskKey, TaskState
from berylspread.partition.messages import TaskEvent
from features.support.entry_world import CENTRAL, EAST
from features.support.fleet_steps import token, world

WORKER = 'pekalongan-rack-1-1'


@when(
    'the team {team} submits a job of 5 seconds'
    ' with a deadline in {left:g} seconds'
)
def step_late(context: Context, team: str, left: float) -> None:
    answer = world(context).request(
        'POST',
        '/v1/jobs',
        key=token(context, team),
        json={
            'queue': 'pattern-run',
            'payload': '{"run_s": 5}',
            'deadline_s': left,
        },
    )
    context.job_id = answer.json()['job_id']


@then('every node has one ticket for {category} of the job')
def step_ticket(context: Context, category: str) -> None:
    for entry in world(context).entries.values():
        found = [
            (ticket.category, ticket.subject)
            for ticket in entry.service.tickets.newest_first()
        ]
        assert found == [(category, context.job_id)], found


@then('the fleet lists one ticket, of the job')
def step_once(context: Context) -> None:
    found = world(context).operate('GET', '/v1/admin/tickets').json()
    assert [ticket['subject'] for ticket in found] == [context.job_id], found


@when(
    'every worker is paused and proofs sends a call with a deadline in 1 second'
)
def step_pause_workers(context: Context) -> None:
    key = token(context, 'proofs')
    for worker in world(context).cluster.workers.values():
        worker.pause()
    context.answer = world(context).request(
        'POST',
        '/v1/queues/proof/call',
        content=b'x',
        key=key,
        headers={'X-Deadline-S': '1'},
    )


@then('the node that took the call has one ticket, for {category}')
def step_call_ticket(context: Context, category: str) -> None:
    tickets = world(context).entries[CENTRAL].service.tickets.newest_first()
    assert [ticket.category for ticket in tickets] == [category], tickets


@when('{count:d} tickets are opened')
def step_open(context: Context, count: int) -> None:
    desk = world(context).entries[CENTRAL].service.tickets

    async def open_all() -> None:
        for number in range(count):
            desk.open_ticket(TicketCategory.lost_task, f'job/{number}')

    world(context).run(open_all())


@then('{kept:d} tickets are kept and {counted:d} are counted')
def step_kept(context: Context, kept: int, counted: int) -> None:
    desk = world(context).entries[CENTRAL].service.tickets
    assert len(desk.newest_first()) == kept
    assert desk.opened_by_category == {TicketCategory.lost_task.value: counted}


def listing_status(context: Context, node: str) -> int:
    """Return the HTTP status of a list request with the scenario's key."""
    answer = world(context).request(
        'GET', '/v1/jobs', key=context.key['secret'], node=node
    )
    return answer.status_code


@when('a key of {team} is accepted in both regions')
def step_key(context: Context, team: str) -> None:
    token(context, team)
    context.key = world(context).keys[team]
    for node in (CENTRAL, EAST):
        assert listing_status(context, node) == 200


@when('the key is withdrawn')
def step_withdraw(context: Context) -> None:
    key_id = context.key['key_id']
    answer = world(context).operate('DELETE', f'/v1/admin/keys/{key_id}')
    assert answer.status_code == 200, answer.text


@then('after {seconds:g} seconds it is refused in both regions')
def step_refused(context: Context, seconds: float) -> None:
    world(context).sleep(seconds)
    for node in (CENTRAL, EAST):
        assert listing_status(context, node) == 401


@when('the network cuts off east completely for {seconds:g} seconds')
def step_cut(context: Context, seconds: float) -> None:
    network = world(context).cluster.network
    network.cut(EAST, '*')
    network.cut('*', EAST)
    world(context).sleep(seconds)


@then('the key is refused with {status:d} at east but not at central')
def step_refused_east(context: Context, status: int) -> None:
    assert listing_status(context, EAST) == status
    assert listing_status(context, CENTRAL) == 200


@then(
    'a call to the open queue with this key is not refused for its key at east'
)
def step_open_queue(context: Context) -> None:
    answer = world(context).request(
        'POST',
        '/v1/queues/order-status/call',
        content=b'x',
        key=context.key['secret'],
        node=EAST,
    )
    assert answer.status_code != 401, answer.text


@when('an operator drains a worker')
def step_drain(context: Context) -> None:
    step_drain_vm(context, WORKER)
    assert context.answer.status_code == 200, context.answer.text


@when('an operator drains the VM {vm}')
def step_drain_vm(context: Context, vm: str) -> None:
    context.answer = world(context).operate(
        'POST', '/v1/admin/drain', json={'vm': vm}
    )


@when('the drain is undone')
def step_undo(context: Context) -> None:
    answer = world(context).operate(
        'POST', '/v1/admin/drain', json={'vm': WORKER, 'undo': True}
    )
    assert answer.status_code == 200, answer.text


@then('the worker is listed as {state} on every node')
def step_listed(context: Context, state: str) -> None:
    for node in world(context).entries:
        workers = (
            world(context).operate('GET', '/v1/admin/workers', node=node).json()
        )
        found = {view['worker']: view['state'] for view in workers}
        assert found[WORKER] == state, found


@then('new jobs run on other workers only')
def step_avoided(context: Context) -> None:
    for number in range(8):
        answer = world(context).request(
            'POST',
            '/v1/jobs',
            key=token(context, 'patterns'),
            json={
                'queue': 'pattern-run',
                'tasks': 4,
                'payload': '{"run_s": 2}',
                'request_id': f'wave-{number}',
            },
        )
        assert answer.status_code == 202, answer.text
    world(context).sleep(3.0)
    running = {
        worker.vm.vm_id: len(worker.runs)
        for worker in world(context).cluster.workers.values()
    }
    assert sum(running.values()) > 0, running
    assert running[WORKER] == 0, running


def submit_endless_task(context: Context, team: str, queue: str) -> None:
    """Submit a job of one task that runs until it is stopped."""
    answer = world(context).request(
        'POST',
        '/v1/jobs',
        key=token(context, team),
        json={'queue': queue, 'payload': '{"run_s": null}'},
    )
    assert answer.status_code == 202, answer.text
    context.job_id = answer.json()['job_id']
    world(context).sleep(3.0)


@when('a watcher job runs and every worker dies')
def step_watcher(context: Context) -> None:
    submit_endless_task(context, 'looms', 'loom-watcher')

    async def die() -> None:
        for worker in world(context).cluster.workers.values():
            worker.die()

    world(context).run(die())


@when('a home receives a report of a second run of one of its tasks')
def step_second(context: Context) -> None:
    submit_endless_task(context, 'patterns', 'pattern-run')
    homes = [
        role.jobs
        for entry in world(context).entries.values()
        for role in entry.node.homes.roles.values()
    ]
    home = next(home for home in homes if context.job_id in home.job_table.jobs)
    progress = home.job_table.jobs[context.job_id]
    attempt = progress.handed_out[0].attempt
    home.job_table.apply_event(
        TaskEvent(
            TaskKey(context.job_id, 0),
            attempt - 1,
            TaskState.running,
            worker='another-worker',
        )
    )


@then('the fleet lists one ticket for {category} of the {what}')
def step_one_ticket(context: Context, category: str, what: str) -> None:
    found = world(context).operate('GET', '/v1/admin/tickets').json()
    assert [ticket['category'] for ticket in found] == [category], found
    assert found[0]['subject'].startswith(f'{context.job_id}/0'), found
