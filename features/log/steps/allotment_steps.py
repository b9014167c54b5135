"""Steps for the split of a team's limit over the regions."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as property_given
from hypothesis import strategies as st

from berylspread.log import (
    AllotmentMoved,
    Batch,
    ClusterState,
    ConfigApplied,
    Entry,
    encode_batch,
)
from berylspread.model import Resources

TEAM = 'proofs'


class Fleet:
    """A state that applies documents and transfers at once."""

    def __init__(self) -> None:
        self.state = ClusterState()
        self.weights: dict[str, int] = {}
        self.limit = 0

    def apply(self, record: ConfigApplied | AllotmentMoved) -> None:
        offset = self.state.offset + 1
        blob = encode_batch(Batch('writer', offset, [record]))
        self.state.apply_entry(Entry(offset, blob))

    def set_regions(self, weights: dict[str, int]) -> None:
        self.weights = weights
        self.set_limit(self.limit)

    def set_limit(self, limit: int) -> None:
        self.limit = limit
        regions = ''.join(
            f'[region {name}]\nweight = {weight}\n'
            for name, weight in self.weights.items()
        )
        text = f'{regions}[team {TEAM}]\nlimit_tasks = {limit}\n'
        base = self.state.config_version
        self.apply(ConfigApplied('production', base, text))

    def move(self, source: str, target: str, tasks: int) -> None:
        amount = Resources(slots=tasks)
        self.apply(AllotmentMoved(TEAM, source, target, amount))

    def parts(self) -> dict[str, int]:
        return {
            region: self.state.allotment(TEAM, region).slots
            for region in self.weights
        }


def parse_weights(names: str, weights: str) -> dict[str, int]:
    regions = names.replace(',', ' ').replace(' and ', ' ').split()
    numbers = weights.replace(',', ' ').replace(' and ', ' ').split()
    return dict(zip(regions, map(int, numbers), strict=True))


@given('regions {names} of weights {weights}')
def step_regions(context: Context, names: str, weights: str):
    context.fleet = Fleet()
    context.fleet.set_regions(parse_weights(names, weights))


@when('the regions become {names} of weights {weights}')
def step_become(context: Context, names: str, weights: str):
    context.fleet.set_regions(parse_weights(names, weights))


@when("the team's limits in tasks are {limits} one after the other")
def step_limits(context: Context, limits: str):
    for limit in limits.split():
        context.fleet.set_limit(int(limit))


@given("the team's limit is {limit:d} tasks")
@when('the limit is set to {limit:d} tasks')
def step_limit(context: Context, limit: int):
    context.fleet.set_limit(limit)


@when('region {source} gives {amount:d} tasks to region {target}')
def step_move(context: Context, source: str, amount: int, target: str):
    context.fleet.move(source, target, amount)


@then('the parts of {names} are {parts}')
def step_parts(context: Context, names: str, parts: str):
    found = [str(part) for part in context.fleet.parts().values()]
    assert found == parts.split(), found


weights = st.dictionaries(st.sampled_from('abc'), st.integers(0, 5), min_size=1)
actions = st.one_of(
    st.tuples(st.just('set_limit'), st.integers(0, 200)),
    st.tuples(st.just('set_regions'), weights),
    st.tuples(
        st.just('move'),
        st.sampled_from('abc'),
        st.sampled_from('abc'),
        st.integers(-5, 100),
    ),
)


@when('random limits, regions and transfers follow one another')
def step_random(context: Context):
    context.checked = 0

    @property_given(weights, st.lists(actions, max_size=12))
    def check(first: dict[str, int], steps: list[tuple]) -> None:
        fleet = Fleet()
        fleet.set_regions(first)
        for name, *arguments in steps:
            before, limit = fleet.parts(), fleet.limit
            getattr(fleet, name)(*arguments)
            after = fleet.parts()
            assert sum(after.values()) == fleet.limit
            if name == 'set_limit' and fleet.limit < limit:
                assert all(after[region] <= before[region] for region in after)
            context.checked += 1

    check()


@then('the parts always add up to the limit')
@then('a lower limit lets no part grow')
def step_checked(context: Context):
    assert context.checked > 100, context.checked
