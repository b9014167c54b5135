"""Steps for the election of the coordinator in a cell of unequal nodes."""

from behave import given, then, when

from berylspread.coordinator import Capacity
from berylspread.coordinator.fitness import compute_fitness
from berylspread_standins.coordinated import CoordinatedFleet
from berylspread_standins.coordinated.fleet import QUEUE, TOPICS

WEAK = Capacity(0.5, 10.0)
STRONG = Capacity(2.0, 200.0)
TOLERANCE = 1e-9


@then(
    'a node {place} the store with {cores:g} cores and a link of {link:g} '
    'Mbit/s has fitness {expected:g}'
)
def step_fitness(context, place, cores, link, expected):
    found = compute_fitness(Capacity(cores, link), is_near=place == 'near')
    assert abs(found - expected) < TOLERANCE, found


@given(
    'a cell of {weak:d} weak nodes, {strong:d} strong nodes and {workers:d} '
    'workers'
)
@given(
    'a cell of {weak:d} weak nodes, {strong:d} strong node and {workers:d} '
    'workers'
)
def step_cell(context, weak, strong, workers):
    async def start():
        context.cell = CoordinatedFleet(workers)
        context.queue = QUEUE
        # The weak nodes start first.
        for index in range(weak):
            context.cell.start_node(f'a-weak{index}', capacity=WEAK)
        for index in range(strong):
            context.cell.start_node(f'b-strong{index}', capacity=STRONG)

    context.run(start())


@when('a strong node starts')
def step_start_strong(context):
    async def start():
        context.cell.start_node('b-strong0', capacity=STRONG)

    context.run(start())


@then('the coordinator is strong')
def step_strong(context):
    leader = context.cell.leader()
    assert leader is not None, 'no single coordinator'
    assert 'strong' in leader, leader


@when("the reads of the leader's record are counted from now on")
def step_count(context):
    for node in context.cell.nodes.values():
        node.view.reads.clear()


@then("weak nodes have read the leader's record at most {count:d} times")
def step_reads(context, count):
    reads = sum(
        node.view.reads[TOPICS.leader]
        for name, node in context.cell.nodes.items()
        if 'weak' in name
    )
    assert reads <= count, reads


@then(
    'every node but the one that is cut from the store knows the new '
    'coordinator'
)
def step_all_know(context):
    epochs = {
        name: node.node.leadership.current.epoch
        for name, node in context.cell.nodes.items()
        if not node.view.is_cut
    }
    assert set(epochs.values()) == {max(epochs.values())}, epochs
    assert max(epochs.values()) > 1, epochs
