"""Steps for the appender."""

import asyncio
from collections import Counter

from behave import given, then, when
from behave.runner import Context

from berylspread.kernel import Failure, now
from berylspread.kernel.errors import LogUnavailable, Overloaded
from berylspread.log import Appender, ClusterState, decode_batch
from berylspread_standins.log_service import LocalLog
from features.log.world import World, key_record, replay
from features.support import run_virtual

CALL_TIMEOUT_S = 10.0


async def cause_outage(world: World, seconds: float):
    world.service.is_down = True
    await asyncio.sleep(seconds)
    world.service.is_down = False


def lose_replies(world: World, client: LocalLog, _seconds: float):
    client.faults.lose_answer = 0.5


def duplicate_appends(world: World, client: LocalLog, _seconds: float):
    client.faults.duplicate = 0.5


def lose_and_duplicate(world: World, client: LocalLog, seconds: float):
    lose_replies(world, client, seconds)
    duplicate_appends(world, client, seconds)


def start_outage(world: World, client: LocalLog, seconds: float):
    world.start_task(cause_outage(world, seconds))


def slow_log(world: World, client: LocalLog, seconds: float):
    world.service.slow_s = seconds


FAULTS = {
    'replies lost after effect': lose_replies,
    'replies lost, reading slow': lose_replies,
    'appends duplicated': duplicate_appends,
    'replies lost and duplicates': lose_and_duplicate,
    'an outage of': start_outage,
    'the log slow by': slow_log,
}


def inject_fault(context: Context, world: World, client: LocalLog):
    fault = getattr(context, 'fault', '')
    for text, apply in FAULTS.items():
        if fault.startswith(text):
            words = fault.removeprefix(text).split()
            apply(world, client, float(words[0]) if words else 0.0)


@given('the client\'s fault is "{fault}"')
def step_fault(context: Context, fault: str):
    assert any(fault.startswith(text) for text in FAULTS), fault
    context.fault = fault


@given('at most {count:d} callers may wait')
def step_max_waiting(context: Context, count: int):
    context.limits = {'max_waiting_calls': count}


async def append_one(
    context: Context, appender: Appender, number: int, at_s: float
):
    await asyncio.sleep(at_s)
    began_at = now()
    context.results[number] = await appender.append(key_record(number))
    context.waited_s[number] = now() - began_at


async def start_appender(
    context: Context, world: World, interval_s: float
) -> Appender:
    context.results = {}
    context.waited_s = {}
    context.service = world.service
    client = world.client()
    is_reading_slow = 'reading slow' in getattr(context, 'fault', '')
    reader = world.reader(
        client, min_interval_s=0.8 if is_reading_slow else 0.1
    )
    await reader.started.wait()
    inject_fault(context, world, client)
    appender = world.appender(
        'node:1',
        client,
        min_interval_s=interval_s,
        call_timeout_s=CALL_TIMEOUT_S,
        **getattr(context, 'limits', {}),
    )
    appender.subscribe_to(reader.state)
    context.counts = appender.counts
    return appender


async def append_all(
    context: Context, count: int, over_s: float, interval_s: float
):
    async with World() as world:
        appender = await start_appender(context, world, interval_s)
        await asyncio.gather(
            *(
                append_one(context, appender, number, over_s * number / count)
                for number in range(count)
            )
        )
        await asyncio.sleep(getattr(context, 'settle_s', 100.0))


@when('{count:d} callers append over {over_s:g} s at an interval of {gap:g} s')
@when('{count:d} caller appends over {over_s:g} s at an interval of {gap:g} s')
def step_append(context: Context, count: int, over_s: float, gap: float):
    run_virtual(append_all(context, count, over_s, gap))


async def append_and_cancel(context: Context, count: int, after_s: float):
    async with World() as world:
        appender = await start_appender(context, world, 0.1)
        calls = [
            asyncio.create_task(
                append_one(context, appender, number, number * 0.01)
            )
            for number in range(count)
        ]
        await asyncio.sleep(after_s)
        for task in calls[1:]:
            task.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        await asyncio.sleep(100)


@when(
    '{count:d} callers append and the last 9 are cancelled after {after_s:g} s'
)
def step_cancel(context: Context, count: int, after_s: float):
    run_virtual(append_and_cancel(context, count, after_s))


@when('the log has been available again for 30 s')
def step_back(context: Context):
    assert not context.service.is_down


@then('at most {count:d} appends were sent')
def step_appends(context: Context, count: int):
    assert context.counts.appends <= count, context.counts.appends


@then('the slowest caller waited at most {seconds:g} s')
def step_waited(context: Context, seconds: float):
    assert max(context.waited_s.values()) <= seconds, context.waited_s


def first_offsets(context: Context) -> dict[str, int]:
    found: dict[str, int] = {}
    for entry in context.service.entries:
        for record in decode_batch(entry.blob).records:
            found.setdefault(record.key_id, entry.offset)
    return found


@then('every caller has the offset of the entry with its record')
def step_offsets(context: Context):
    offsets = first_offsets(context)
    wrong = {
        number: (result, offsets.get(f'key-{number}'))
        for number, result in context.results.items()
        if result != offsets.get(f'key-{number}')
    }
    assert not wrong, wrong


@then('every caller has an offset at which the state holds its record')
def step_copies(context: Context):
    state = ClusterState()
    keys_at: dict[int, set[str]] = {}
    for entry in context.service.entries:
        state.apply_entry(entry)
        copied = {found.key_id for found in decode_batch(entry.blob).records}
        keys_at[entry.offset] = copied & set(state.keys.active)
    wrong = {
        number: result
        for number, result in context.results.items()
        if f'key-{number}' not in keys_at.get(result, set())
    }
    assert not wrong, wrong


@then('the state holds every record once')
def step_once(context: Context):
    state = replay(context.service)
    assert len(state.keys.active) == len(context.results)
    step_unchanged(context)


@then('every caller has LogUnavailable')
def step_unavailable(context: Context):
    wrong = [
        result
        for result in context.results.values()
        if not isinstance(result, LogUnavailable)
    ]
    assert not wrong, wrong


def keys_with_failure(context: Context, *, may_have_applied: bool) -> set[str]:
    return {
        f'key-{number}'
        for number, result in context.results.items()
        if isinstance(result, Failure)
        and result.fields['may_have_applied'] is may_have_applied
    }


@then('each record that "may have applied" is in the state once')
def step_may_have(context: Context):
    keys = keys_with_failure(context, may_have_applied=True)
    assert keys
    assert set(replay(context.service).keys.active) == keys


@then('no record that was never sent is in the state')
def step_never_sent(context: Context):
    keys = keys_with_failure(context, may_have_applied=False)
    assert keys
    assert not keys & set(replay(context.service).keys.active)


@then('the state holds {count:d} record')
def step_count(context: Context, count: int):
    assert len(replay(context.service).keys.active) == count


@then('{count:d} callers have Overloaded')
def step_overloaded(context: Context, count: int):
    found = Counter(type(result) for result in context.results.values())
    assert found[Overloaded] == count, found


@then('no two entries of one sequence number differ')
def step_unchanged(context: Context):
    blobs: dict[int, bytes] = {}
    for entry in context.service.entries:
        sequence = decode_batch(entry.blob).sequence
        assert blobs.setdefault(sequence, entry.blob) == entry.blob
