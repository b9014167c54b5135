"""Steps that submit, query and cancel jobs over HTTP."""

import asyncio

from behave import given, then, when
from behave.runner import Context

from berylspread.log import JobAccepted, decode_batch
from features.support import fleet_steps
from features.support.entry_world import CENTRAL, EAST
from features.support.fleet_steps import NODES, expect_problem, token, world

PAYLOAD = '{"run_s": 5}'
CENTRAL_NODES = (CENTRAL, 'pekalongan-2')


def job_input(request_id: str, queue: str, tasks: int = 2) -> dict:
    """Return the input of a job whose tasks take 5 s each."""
    return {
        'queue': queue,
        'tasks': tasks,
        'payload': PAYLOAD,
        'request_id': request_id,
    }


def request_job(context: Context, path: str = '', **options):
    """Send a request about the scenario's job, by default as its team."""
    options = {'method': 'GET', 'team': 'patterns', 'node': CENTRAL} | options
    return world(context).request(
        options['method'],
        f'/v1/jobs/{context.job_id}{path}',
        key=token(context, options['team']),
        node=options['node'],
    )


@when('the team {team} submits request {request} to {queue} at {region}')
def step_submit(
    context: Context, team: str, request: str, queue: str, region: str
) -> None:
    if getattr(context, 'answer', None) is not None:
        context.earlier = context.answer
    context.answer = world(context).request(
        'POST',
        '/v1/jobs',
        key=token(context, team),
        node=NODES[region],
        json=job_input(request, queue),
    )
    context.job_id = context.answer.json().get('job_id', '')


@when('request {request} is submitted in both regions at once')
def step_both(context: Context, request: str) -> None:
    key = token(context, 'patterns')

    async def submit_both() -> list:
        return await asyncio.gather(
            *(
                world(context).send(
                    'POST',
                    '/v1/jobs',
                    key=key,
                    node=node,
                    json=job_input(request, 'pattern-proof'),
                )
                for node in (CENTRAL, EAST)
            )
        )

    context.earlier, context.answer = world(context).run(submit_both())


@then('both responses name the same job')
def step_one_job(context: Context) -> None:
    names = {
        answer.json()['job_id'] for answer in (context.earlier, context.answer)
    }
    assert len(names) == 1, names


def accepted_job_ids(context: Context, request: str) -> list[str]:
    """Return the ids of the jobs that the log has accepted for a request.

    A batch may be in the log twice, if it was sent again after its reply was
    lost; it counts once.
    """
    batches = {
        (batch.writer, batch.sequence): batch
        for entry in world(context).cluster.log.entries
        for batch in (decode_batch(entry.blob),)
    }
    return [
        record.spec.job_id
        for batch in batches.values()
        for record in batch.records
        if isinstance(record, JobAccepted) and record.spec.request_id == request
    ]


@then('the log has accepted {count:d} job of request {request}')
def step_accepted(context: Context, count: int, request: str) -> None:
    found = accepted_job_ids(context, request)
    assert len(found) == count, found


@then('every node knows one job of request {request}')
def step_known(context: Context, request: str) -> None:
    world(context).sleep(2.0)
    for entry in world(context).entries.values():
        jobs = entry.node.state.jobs
        known = [
            known.spec.job_id
            for known in (*jobs.active.values(), *jobs.ended.values())
            if known.spec.request_id == request
        ]
        assert len(known) == 1, known


@given('the store is down')
def step_down(context: Context) -> None:
    token(context, 'patterns')
    world(context).cluster.log.is_down = True


@when('the store is available again')
def step_back(context: Context) -> None:
    world(context).cluster.log.is_down = False


@given('the store replies after {seconds:g} seconds')
def step_slow(context: Context, seconds: float) -> None:
    token(context, 'patterns')
    world(context).cluster.log.slow_s = seconds


@when('the store replies without delay again')
def step_fast(context: Context) -> None:
    world(context).cluster.log.slow_s = 0.0


@then('the job has succeeded without a second run')
def step_once(context: Context) -> None:
    world(context).sleep(20.0)
    assert request_job(context).json()['tasks'] == {'succeeded': 2}
    observer = world(context).cluster.observer
    assert not observer.violations, observer.violations


@when('the team {team} submits {count:d} jobs to {queue}')
def step_many(context: Context, team: str, count: int, queue: str) -> None:
    context.job_ids = []
    for number in range(count):
        step_submit(context, team, f'page-{number}', queue, 'central')
        context.job_ids.append(context.job_id)
        world(context).sleep(0.2)


@when('the jobs are listed {limit:d} at a time')
def step_list(context: Context, limit: int) -> None:
    context.listed = []
    cursor = ''
    while True:
        page = (
            world(context)
            .request(
                'GET',
                '/v1/jobs',
                key=token(context, 'patterns'),
                params={'limit': limit, 'cursor': cursor},
            )
            .json()
        )
        assert len(page['jobs']) <= limit
        context.listed += [view['job_id'] for view in page['jobs']]
        cursor = page['cursor']
        if not cursor:
            return


@then('each of the {count:d} jobs is listed once, in order of submission')
def step_listed(context: Context, count: int) -> None:
    assert context.listed == context.job_ids, context.listed
    assert len(set(context.listed)) == count


@then('the job is running at its home')
def step_running(context: Context) -> None:
    view = request_job(context).json()
    assert (view['state'], view['source']) == ('running', 'home'), view


@then('its result is refused with {status:d} as {name}, {run_state}')
def step_no_result(
    context: Context, status: int, name: str, run_state: str
) -> None:
    expect_problem(request_job(context, '/result'), status, name, run_state)


@then('the state of the job is {state}')
def step_state(context: Context, state: str) -> None:
    view = request_job(context).json()
    assert view['state'] == state, view


@then('its result lists {count:d} tasks')
def step_result(context: Context, count: int) -> None:
    found = request_job(context, '/result').json()
    assert [end[0] for end in found['ends']] == list(range(count)), found


@when('the team {team} cancels the job at {region}')
def step_cancel(context: Context, team: str, region: str) -> None:
    answer = request_job(
        context, method='DELETE', team=team, node=NODES[region]
    )
    assert answer.status_code == 200, answer.text


@then('the team {team} may not see, cancel or explain the job')
def step_hidden(context: Context, team: str) -> None:
    for method, path in (('GET', ''), ('DELETE', ''), ('GET', '/why')):
        answer = request_job(context, path, method=method, team=team)
        expect_problem(answer, 403, 'forbidden', 'not-run')


@then('an operator sees the job')
def step_operator(context: Context) -> None:
    answer = request_job(context, team='the operator')
    assert answer.json()['job_id'] == context.job_id


@when('{tasks:d} tasks of 32 cores wait in the queue {queue}')
def step_wait(context: Context, tasks: int, queue: str) -> None:
    answer = world(context).request(
        'POST',
        '/v1/jobs',
        key=token(context, 'patterns'),
        json=job_input('', queue, tasks)
        | {'cpu': 32, 'payload': '{"run_s": 600}'},
    )
    context.job_id = answer.json()['job_id']
    world(context).sleep(5.0)


@then('the reason is that {reason}')
def step_reason(context: Context, reason: str) -> None:
    found = request_job(context, '/why').json()
    assert [line['reason'] for line in found['lines']] == [reason], found
    assert found['lines'][0]['tasks'] > 0


@when('the nodes of central are cut off from east')
def step_cut(context: Context) -> None:
    for node in CENTRAL_NODES:
        world(context).cluster.network.cut(node, EAST)
        world(context).cluster.network.cut(EAST, node)


@then('the job is shown at east from the log')
def step_from_log(context: Context) -> None:
    view = request_job(context, node=EAST).json()
    assert (view['source'], view['tasks']) == ('log', {'active': 2}), view


@when('a watcher job runs and its worker dies')
def step_watcher_dies(context: Context) -> None:
    answer = world(context).request(
        'POST',
        '/v1/jobs',
        key=token(context, 'looms'),
        json={'queue': 'loom-watcher', 'payload': '{"run_s": null}'},
    )
    context.job_id = answer.json()['job_id']
    world(context).sleep(3.0)
    context.workers = request_job(context, team='looms').json()['workers']

    async def die() -> None:
        for worker in world(context).cluster.workers.values():
            if worker.vm.vm_id in context.workers:
                worker.die()

    world(context).run(die())


@then('the watcher job runs on another worker')
def step_moved(context: Context) -> None:
    view = request_job(context, team='looms').json()
    assert view['tasks'] == {'running': 1}, view
    assert view['workers'] != context.workers, view


@when('an anonymous job is submitted to the queue {queue}')
def step_anonymous(context: Context, queue: str) -> None:
    answer = world(context).request(
        'POST', '/v1/jobs', json=job_input('', queue, tasks=1)
    )
    assert answer.status_code == 202, answer.text
    context.job_id = answer.json()['job_id']
    world(context).sleep(5.0)


@then(
    'its result is readable without a key, and only an operator may cancel it'
)
def step_read(context: Context) -> None:
    found = request_job(context, '/result', team='no').json()
    assert found['tasks'] == {'succeeded': 1}, found
    for team, status in (('no', 401), ('proofs', 403), ('the operator', 200)):
        answer = request_job(context, method='DELETE', team=team)
        assert answer.status_code == status, answer.text


__all__ = ['fleet_steps']
