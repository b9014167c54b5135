"""Steps for plans of owners and for the rules of promises."""

import collections
import math

from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import strategies as st

from berylspread.ownership.policy import plan_owners
from berylspread.ownership.rules import (
    MemberStatus,
    Terms,
    authority_until,
    may_promise,
)

NODES = 'abcdefghi'


@given('units {count:d} owned by {owners}')
def given_units(context, count, owners):
    context.units = [f'workers/near/r{number}' for number in range(count)]
    context.owners = {
        unit: owner
        for unit, owner in zip(context.units, owners, strict=False)
        if owner != '-'
    }


@when('they are planned for nodes {nodes}')
def when_planned(context, nodes):
    context.nodes = nodes
    context.planned_owners = plan_owners(
        context.units, list(nodes), context.owners
    )


@then('{count:d} units change their owner')
def then_moved(context, count):
    assert count_moved(context.planned_owners, context.owners) == count, (
        context.planned_owners
    )


@then('the loads are {loads}')
def then_loads(context, loads):
    counts = collections.Counter(context.planned_owners.values())
    assert sorted(counts.values()) == [int(one) for one in loads.split()]


def count_moved(target, owners):
    return sum(target[unit] != owners.get(unit) for unit in target)


def first_plan(units, nodes):
    return plan_owners([f'u/{one}' for one in range(units)], list(nodes), {})


@then('a joining node takes no more than its share from the others')
def then_join(context):
    @given_examples(st.integers(1, 60), st.integers(1, 8))
    def check(units, nodes):
        before = first_plan(units, NODES[:nodes])
        after = plan_owners(list(before), list(NODES[: nodes + 1]), before)
        assert count_moved(after, before) <= math.ceil(units / (nodes + 1))
        assert all(
            after[unit] in {before[unit], NODES[nodes]} for unit in after
        )

    check()


@then("a leaving node's units are all that move")
def then_leave(context):
    @given_examples(st.integers(1, 60), st.integers(2, 9))
    def check(units, nodes):
        before = first_plan(units, NODES[:nodes])
        left = NODES[: nodes - 1]
        after = plan_owners(list(before), list(left), before)
        own = list(before.values()).count(NODES[nodes - 1])
        assert count_moved(after, before) == own
        counts = [list(after.values()).count(node) for node in left]
        assert max(counts) - min(counts) <= 1

    check()


@when('promises end at {ends} in an electorate of {members:d}')
def when_promises(context, ends, members):
    context.until = authority_until(
        [float(one) for one in ends.split()], members
    )


@then('authority ends at {until}')
def then_until(context, until):
    assert context.until == float(until), context.until


@given('a member that booted {booted:d} s ago, read the log {blind:d} s ago')
def given_member(context, booted, blind):
    context.member_status = MemberStatus(
        booted_s=booted, caught_up=True, blind_s=blind, version=0, offset=9
    )


@given('has read version {version:d}')
def given_version(context, version):
    context.member_status.version = version


@then('it {may} an owner that states version {stated:d}')
def then_may(context, may, stated):
    allowed = may_promise(context.member_status, stated, Terms())
    assert allowed == (may == 'promises')
