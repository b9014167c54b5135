"""Steps for operators' actions on documents."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from behave import given, then, when
from behave.runner import Context

from berylspread.config import InvalidDocument, parse_document
from berylspread.config.evaluation import Demand, Evaluation, evaluate
from berylspread.config.operations import Operations, Submission
from berylspread.config.vouching import KeyGuard
from berylspread.kernel import now
from berylspread.kernel.errors import Conflict, LogUnavailable
from berylspread.log import LogReader
from berylspread.log.folds import DocumentVersion
from berylspread.model import Resources
from berylspread_standins.network import Endpoint
from berylspread_standins.peer_network import PeerNetwork
from berylspread_standins.virtual_time import VirtualTimeLoop
from features.config.editor import EXAMPLES, Editor
from features.log.world import World

EXAMPLE = (EXAMPLES / 'suryadi.ini').read_text(encoding='utf-8')
PRODUCTION = 'production'
TRIAL = 'trial'


class NoMembership:
    """A membership view without peers."""

    def members(self, region: str = '') -> list[Any]:
        return []


class Node:
    """The node that one operator uses."""

    def __init__(self, world: World, peers: PeerNetwork, name: str) -> None:
        self.client = world.client()
        self.reader: LogReader = world.reader(self.client)
        appender = world.appender(name, self.client)
        appender.subscribe_to(self.reader.state)
        local = peers.start(Endpoint(name, 'a'))
        guard = KeyGuard(
            ref=local.ref,
            reader=self.reader,
            peers=local,
            membership=NoMembership(),
            store_region='a',
            trust_duration_s=5.0,
        )
        self.operations = Operations(appender, self.reader, guard, world.wall)


class Operators:
    """Two operators, their nodes and the last result of each operator."""

    def __init__(self) -> None:
        self.world = World()
        peers = PeerNetwork(self.world.rng)
        self.nodes = {
            name: Node(self.world, peers, name) for name in ('rini', 'budi')
        }
        self.results: dict[str, Any] = {}
        self.edits = 0
        self.length = 0

    def text(
        self, environment: str = PRODUCTION, edit: tuple[str, ...] = ()
    ) -> str:
        """Return a document that differs from every other one."""
        self.edits += 1
        editor = Editor(EXAMPLE)
        editor.parser['environment']['name'] = environment
        editor.parser['environment']['description'] = f'edit {self.edits}'
        if edit:
            section, option, value = edit
            editor.parser[section][option] = value
        return editor.text()

    async def apply(
        self,
        operator: str,
        base: int,
        text: str,
        environment: str = PRODUCTION,
        used: dict[str, Resources] | None = None,
    ) -> Any:
        submission = Submission(environment, base, text, operator)
        operations = self.nodes[operator].operations
        self.length = self.world.service.end
        self.results[operator] = await operations.apply(submission, used)
        return self.results[operator]

    def in_force(
        self, operator: str, environment: str = PRODUCTION
    ) -> DocumentVersion:
        state = self.nodes[operator].reader.state
        return state.configs.version_in_force(environment)


def run_action(
    context: Context, action: Callable[[Operators], Coroutine[Any, Any, None]]
):
    context.runner.run(action(context.operators))


@given('two nodes and production version 1 by "{author}"')
def step_operators(context: Context, author: str):
    context.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
    context.add_cleanup(context.runner.close)

    async def begin():
        operators = Operators()
        context.operators = operators
        await asyncio.sleep(1)
        await operators.apply(author, 0, operators.text())
        assert operators.results[author].version == 1
        await asyncio.sleep(2)

    context.runner.run(begin())
    world = context.operators.world
    context.add_cleanup(lambda: context.runner.run(world.close()))


@when('"{first}" and "{second}" both apply a document based on version 1')
def step_race(context: Context, first: str, second: str):
    async def act(operators: Operators):
        await asyncio.gather(
            operators.apply(first, 1, operators.text()),
            operators.apply(second, 1, operators.text()),
        )
        await asyncio.sleep(2)

    run_action(context, act)


def find_winner(operators: Operators) -> str:
    winners = [
        name
        for name, result in operators.results.items()
        if isinstance(result, DocumentVersion)
    ]
    assert len(winners) == 1, operators.results
    return winners[0]


@then('one of them has the next version')
def step_winner(context: Context):
    operators = context.operators
    assert operators.results[find_winner(operators)].base == 1


@then('the other has a Conflict that names the winner and its version')
def step_loser(context: Context):
    operators = context.operators
    winner = find_winner(operators)
    loser_result = next(
        result for name, result in operators.results.items() if name != winner
    )
    assert isinstance(loser_result, Conflict), loser_result
    assert loser_result.fields['author'] == winner
    assert loser_result.fields['version'] == operators.results[winner].version


@then("every node has the winner's document in force")
def step_in_force(context: Context):
    operators = context.operators
    winner_version = operators.results[find_winner(operators)]
    for name in operators.nodes:
        assert operators.in_force(name) == winner_version


@given('half of the replies of the log are lost')
def step_lost_replies(context: Context):
    for node in context.operators.nodes.values():
        node.client.faults.lose_answer = 0.5


@when('"{operator}" applies {count:d} documents one after the other')
def step_many(context: Context, operator: str, count: int):
    async def act(operators: Operators):
        context.versions = []
        base = 1
        for _ in range(count):
            result = await operators.apply(operator, base, operators.text())
            assert isinstance(result, DocumentVersion), result
            base = result.version
            context.versions.append(base)

    run_action(context, act)


@then('each came into force once, in order, with the version that "{name}" got')
def step_versions(context: Context, name: str):
    history = context.operators.nodes[name].operations.history(PRODUCTION)
    assert [found.version for found in history] == [1, *context.versions]


@when('"{operator}" applies a document based on version {base:d}')
def step_apply(context: Context, operator: str, base: int):
    async def act(operators: Operators):
        await operators.apply(operator, base, operators.text())

    run_action(context, act)


@then('"{operator}" has a Conflict that names "{other}"')
def step_conflict(context: Context, operator: str, other: str):
    result = context.operators.results[operator]
    assert isinstance(result, Conflict), result
    assert result.fields['author'] == other


@when('"{operator}" applies a document with an unknown team in a queue')
def step_invalid(context: Context, operator: str):
    async def act(operators: Operators):
        text = operators.text(edit=('queue proof', 'team', 'nobody'))
        await operators.apply(operator, 1, text)

    run_action(context, act)


@when('"{operator}" applies the production document to trial')
def step_wrong_environment(context: Context, operator: str):
    async def act(operators: Operators):
        await operators.apply(operator, 0, operators.text(), TRIAL)

    run_action(context, act)


@when('"{operator}" lowers the limit of "proofs" to 100 tasks while 120 run')
def step_lower(context: Context, operator: str):
    async def act(operators: Operators):
        text = operators.text(edit=('team proofs', 'limit_tasks', '100'))
        used = {'proofs': Resources(slots=120)}
        await operators.apply(operator, 1, text, used=used)

    run_action(context, act)


@then('"{operator}" has InvalidDocument and the log is as long as before')
def step_invalid_unlogged(context: Context, operator: str):
    operators = context.operators
    assert isinstance(operators.results[operator], InvalidDocument)
    assert len(operators.results[operator].fields['errors']) == 1
    assert operators.world.service.end == operators.length


@when('"{operator}" applies a document with {option} = {value} in [{section}]')
def step_edit(
    context: Context, operator: str, option: str, value: str, section: str
):
    async def act(operators: Operators):
        text = operators.text(edit=(section, option, value))
        await operators.apply(operator, 1, text)

    run_action(context, act)


@then('"{operator}" has InvalidDocument that allows {allowed}')
def step_allows(context: Context, operator: str, allowed: str):
    step_invalid_unlogged(context, operator)
    result = context.operators.results[operator]
    assert result.fields['errors'][0]['allowed'] == allowed, result


@then('"{operator}" has the next version')
def step_next(context: Context, operator: str):
    result = context.operators.results[operator]
    assert isinstance(result, DocumentVersion), result
    assert result.base == 1


@when('"{operator}" applies a trial document and promotes it')
def step_promote(context: Context, operator: str):
    async def act(operators: Operators):
        text = operators.text(TRIAL, edit=('team proofs', 'limit_tasks', '170'))
        trial = await operators.apply(operator, 0, text, TRIAL)
        operations = operators.nodes[operator].operations
        operators.results[operator] = await operations.promote(
            trial.version, 1, operator
        )

    run_action(context, act)


@then("production has the trial document's options under its own name")
def step_promoted(context: Context):
    operators = context.operators
    trial = operators.in_force('budi', TRIAL).text
    promoted = operators.in_force('budi').text
    assert promoted == trial.replace('name = trial', 'name = production')
    document = operators.nodes['budi'].reader.state.document
    assert document.environment == PRODUCTION
    assert document.team_limit('proofs').slots == 170


@then('the history of production names "{first}" and then "{second}"')
def step_history(context: Context, first: str, second: str):
    history = context.operators.nodes['budi'].operations.history(PRODUCTION)
    assert [found.author for found in history] == [first, second]


@when('"{first}" applies a trial document and "{second}" another one')
def step_trials(context: Context, first: str, second: str):
    async def act(operators: Operators):
        trial = await operators.apply(first, 0, operators.text(TRIAL), TRIAL)
        context.trial_version = trial.version
        await asyncio.sleep(2)
        await operators.apply(
            second, trial.version, operators.text(TRIAL), TRIAL
        )
        await asyncio.sleep(2)

    run_action(context, act)


@when('"{operator}" promotes the trial version that "{operator2}" applied')
def step_promote_old(context: Context, operator: str, operator2: str):
    async def act(operators: Operators):
        operators.results[operator] = await operators.nodes[
            operator
        ].operations.promote(context.trial_version, 1, operator)

    run_action(context, act)


@when('the log is down and "{operator}" applies a document based on version 1')
def step_down(context: Context, operator: str):
    async def act(operators: Operators):
        operators.world.service.is_down = True
        await operators.apply(operator, 1, operators.text())

    run_action(context, act)


@then('"{operator}" has LogUnavailable that says whether it may have applied')
def step_unavailable(context: Context, operator: str):
    result = context.operators.results[operator]
    assert isinstance(result, LogUnavailable), result
    assert result.fields['may_have_applied'] is True


@then('every node has it in force within {seconds:g} s')
def step_in_force_within(context: Context, seconds: float):
    async def check(operators: Operators):
        began = now()
        version = operators.results['budi']
        while any(
            operators.in_force(name) != version for name in operators.nodes
        ):
            await asyncio.sleep(0.05)
            assert now() - began <= seconds

    run_action(context, check)


@given('recorded demand of {peak:d} tasks of "{team}" on "{queue}"')
def step_demand(context: Context, peak: int, team: str, queue: str):
    shape = Resources(2000, 4096, 0, 1)
    context.demand = [Demand(team, queue, shape, peak, 10 * peak)]


@when('the trial document has {option} = {value} in [{section}]')
def step_trial(context: Context, option: str, value: str, section: str):
    editor = Editor(EXAMPLE)
    editor.parser[section][option] = value
    before = parse_document('production', EXAMPLE)
    after = parse_document('trial', editor.text())
    context.evaluation = evaluate(before, after, context.demand)


def lines_of(found: Evaluation) -> list[str]:
    """Return an evaluation in the wording of the examples."""
    admissions = [
        f'{line.queue} refuses {line.team}: {line.after}'
        if line.after
        else f'{line.queue} accepts {line.team} again'
        for line in found.admissions
    ]
    shares = [
        f'share of {line.team} {line.before:g} to {line.after:g}'
        for line in found.shares
    ]
    limits = [
        f'limit of {line.team} {line.before.slots} to {line.after.slots},'
        f' exceeded: {", ".join(line.exceeded) or "none"}'
        for line in found.limits
    ]
    return [*admissions, *shares, *limits]


@then('the evaluation says {expected}')
def step_evaluation(context: Context, expected: str):
    lines = lines_of(context.evaluation)
    if expected == 'nothing':
        assert not lines, lines
    else:
        assert expected in lines, lines
