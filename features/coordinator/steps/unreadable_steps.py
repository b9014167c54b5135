"""Steps about records that this version cannot read."""

from behave import then, when

from berylspread.coordinator.messages import (
    AskJobStatus,
    CancelJob,
    JobAccepted,
    JobCancelled,
    JobStatusReply,
    SubmitJob,
)
from berylspread.coordinator.service import JobUnreadable
from berylspread_standins.coordinated.fleet import TOPICS, job
from features.coordinator.cell import TIMEOUT_S, find_coordinator


def _ask(context, body, reply_type):
    gateway = context.cell.nodes[find_coordinator(context)].node.gateway
    return context.run(
        gateway.send_request(body, reply_type, request='a', timeout_s=TIMEOUT_S)
    )


@when('the record "{key}" is replaced by "{text}"')
def step_replace(context, key, text):
    async def replace():
        context.cell.store.append(TOPICS.jobs, [(key, bytes.fromhex(text))])

    context.run(replace())


@then('requests about job "{job_id}" fail as unreadable')
def step_ask(context, job_id):
    for body, reply_type in (
        (AskJobStatus(job_id, 'q', 'acme'), JobStatusReply),
        (CancelJob(job_id, 'q', 'acme'), JobCancelled),
    ):
        reply = _ask(context, body, reply_type)
        assert isinstance(reply, JobUnreadable), reply


@then('submitting job "{job_id}" again fails as unreadable')
def step_submit_again(context, job_id):
    reply = _ask(context, SubmitJob(job(job_id)), JobAccepted)
    assert isinstance(reply, JobUnreadable), reply


@then('the record "{key}" is still "{text}"')
def step_still(context, key, text):
    newest = {
        item.key: item.blob
        for item in context.cell.store.newest(TOPICS.jobs).items
    }
    assert newest[key] == bytes.fromhex(text), newest
