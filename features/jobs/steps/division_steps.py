"""Steps about the division of pending tasks among nodes."""

import msgspec
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_any
from hypothesis import strategies

from berylspread.jobs.division import DIVISION_PERIOD_S, Division
from berylspread.model import JobKind, Resources
from berylspread.placement.demand import DemandClass

SHAPE = Resources(1000, 0, 0, 1)


def _demand(count: int, age_s: float = 0.0) -> DemandClass:
    return DemandClass(
        class_id='c',
        home='teams/r/0',
        home_epoch=1,
        team='t',
        queue='q',
        job_class='q',
        kind=JobKind.batch,
        shape=SHAPE,
        count=count,
        oldest_age_s=age_s,
    )


def _free(rooms: list[int]) -> dict[str, Resources]:
    return {f'n{index}': SHAPE * room for index, room in enumerate(rooms)}


def _offers(context: Context) -> list[int]:
    return [
        sum(
            part.count
            for part in context.division.demand_for(node, [context.demand])
        )
        for node in context.free
    ]


@given('nodes with room for {rooms} tasks')
def step_rooms(context: Context, rooms: str) -> None:
    context.division = Division()
    context.free = _free([int(room) for room in rooms.split()])


@when('{count:d} new tasks are divided')
def step_divide(context: Context, count: int) -> None:
    context.demand = _demand(count)
    context.division.divide([context.demand], context.free)


@when('1 new task is divided {times:d} times')
def step_rounds(context: Context, times: int) -> None:
    context.demand = _demand(1)
    context.rounds = []
    for _ in range(times):
        context.division.divide([context.demand], context.free)
        context.rounds.append(_offers(context))


@when('{count:d} tasks that have waited for {age_s:g} seconds are divided')
def step_divide_old(context: Context, count: int, age_s: float) -> None:
    context.demand = _demand(count, age_s)
    context.division.divide([context.demand], context.free)


@when('{count:d} of them are handed out to the first node')
def step_handed_out(context: Context, count: int) -> None:
    context.division.record_handed_out('n0', 'c', count)
    left = context.demand.count - count
    context.demand = msgspec.structs.replace(context.demand, count=left)


@then('the nodes are offered {offers}')
def step_offers(context: Context, offers: str) -> None:
    expected = [int(offer) for offer in offers.split()]
    assert _offers(context) == expected, _offers(context)


@then('each node is offered it once')
def step_in_rotation(context: Context) -> None:
    assert sorted(context.rounds) == [[0, 0, 1], [0, 1, 0], [1, 0, 0]]


@then('for any free room the parts of a new class add up to its count')
def step_any(context: Context) -> None:
    @given_any(
        strategies.integers(1, 5000),
        strategies.lists(strategies.integers(0, 500), min_size=1, max_size=9),
        strategies.integers(0, 20),
    )
    def check(count: int, rooms: list[int], rotation: int) -> None:
        division = Division()
        division.rotation = rotation
        free = _free(rooms)
        division.divide([_demand(count)], free)
        offers = [
            sum(
                shown.count
                for shown in division.demand_for(node, [_demand(count)])
            )
            for node in free
        ]
        if any(rooms):
            assert sum(offers) == count
            assert not any(
                offer and not room
                for offer, room in zip(offers, rooms, strict=True)
            )
        else:
            assert offers == [count for _ in rooms]

    check()


@then('the signature of a class changes once it is offered to every node')
def step_signature(context: Context) -> None:
    division = Division()
    new, old = (
        division.signature([_demand(3, age_s)])
        for age_s in (DIVISION_PERIOD_S / 2, DIVISION_PERIOD_S * 2)
    )
    assert new != old
    assert new == division.signature([_demand(3, DIVISION_PERIOD_S / 4)])
