"""Steps for the VM list stand-in."""

import asyncio

from behave import given, then, when
from behave.runner import Context

from berylspread.kernel.errors import Failure
from berylspread.model import Vm, VmRole
from berylspread_standins import LocalDirectory, VmList
from features.support import run_virtual

WATCHED = Vm('vm-1', VmRole.worker, '127.0.0.1:1', 'south', 'south-a')


def _set(vms: VmList, condition: str) -> None:
    vms.is_stale = condition == 'stale'
    vms.is_down = condition == 'down'
    if condition.startswith('lagging by'):
        vms.extra_lag_s = float(condition.rsplit(' ', 1)[1])


def _change(vms: VmList, changed: str) -> None:
    changes = {
        'added': lambda: vms.put(WATCHED),
        'leaving': lambda: vms.mark_leaving(WATCHED.vm_id),
        'removed': lambda: vms.remove(WATCHED.vm_id),
    }
    changes[changed]()


@given('a VM list that lags by {lag_s:d} seconds')
def given_list(context: Context, lag_s: int) -> None:
    context.lag_s = lag_s


@given('the list is {condition}')
def given_condition(context: Context, condition: str) -> None:
    context.condition = condition


@when('a VM is {changed} after 60 seconds')
def when_changed(context: Context, changed: str) -> None:
    context.changed = changed


@then('a node that reads after {seconds:d} seconds sees it as {seen}')
def then_seen(context: Context, seconds: int, seen: str) -> None:
    async def run() -> str:
        vms = VmList(lag_s=context.lag_s)
        if context.changed != 'added':
            vms.put(WATCHED)
            vms.settle()
        _set(vms, context.condition)
        await asyncio.sleep(60)
        _change(vms, context.changed)
        await asyncio.sleep(seconds - 60)
        listed = await LocalDirectory(vms).fetch()
        if isinstance(listed, Failure):
            return 'unavailable'
        return listed[0].state.value if listed else 'absent'

    found = run_virtual(run())
    assert found == seen, found
