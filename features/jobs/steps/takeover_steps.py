"""Steps about the messages by which a home learns what runs."""

import msgspec
from behave import given, then
from behave.runner import Context

from berylspread.model import ZERO, JobKind, TaskKey, TaskState
from berylspread.partition.attempts import Attempt
from berylspread.partition.messages import (
    UNKNOWN_FAILURES,
    HeldTask,
    TaskGrant,
)

NEW_FIELD = 'failures'


def earlier_version(message: type[msgspec.Struct]) -> type[msgspec.Struct]:
    """Return a message without the field that earlier versions lack."""
    return msgspec.defstruct(
        message.__name__,
        [
            (field.name, field.type)
            if field.required
            else (field.name, field.type, field.default)
            for field in msgspec.structs.fields(message)
            if field.name != NEW_FIELD
            and field.default_factory is msgspec.NODEFAULT
        ],
    )


@given('a task that is handed out after {count:d} failures')
def step_grant(context: Context, count: int) -> None:
    grant = TaskGrant(
        TaskKey('r.0.j', 1),
        attempt=5,
        team='t',
        queue='q',
        job_class='q',
        kind=JobKind.batch,
        shape=ZERO,
        failures=count,
    )
    held = Attempt(grant, 'teams/r/0', 'w').to_held_task()
    assert held.failures == count, held
    assert held.state is TaskState.starting, held
    context.messages = (grant, held)


@then('an earlier version reads its messages')
def step_read_new(context: Context) -> None:
    for message in context.messages:
        found = msgspec.msgpack.decode(
            msgspec.msgpack.encode(message), type=earlier_version(type(message))
        )
        assert (found.task, found.attempt) == (message.task, message.attempt)


@then('the messages of an earlier version do not tell the failures')
def step_read_earlier(context: Context) -> None:
    for message in context.messages:
        fields = msgspec.structs.asdict(message)
        del fields[NEW_FIELD]
        found = msgspec.convert(
            msgspec.to_builtins(fields), type=type(message), strict=False
        )
        assert isinstance(found, TaskGrant | HeldTask)
        assert found.failures == UNKNOWN_FAILURES, found
