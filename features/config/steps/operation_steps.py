"""Steps for what operators do with documents."""

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
    """A view without peers."""

    def members(self, region: str = '') -> list[Any]:
        return []


class Node:
    """A node through which one operator works."""

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


class Desk:
    """Two operators at two nodes, and what they were told."""

    def __init__(self) -> None:
        self.world = World()
        peers = PeerNetwork(self.world.rng)
        self.nodes = {
            name: Node(self.world, peers, name) for name in ('rini', 'budi')
        }
        self.told: dict[str, Any] = {}
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
        self.told[operator] = await operations.apply(submission, used)
        return self.told[operator]

    def in_force(
        self, operator: str, environment: str = PRODUCTION
    ) -> DocumentVersion:
        state = self.nodes[operator].reader.state
        return state.configs.version_in_force(environment)


def play(context: Context, action: Callable[[Desk], Coroutine[Any, Any, None]]):
    context.runner.run(action(context.desk))


@given('two nodes and production version 1 by "{author}"')
def step_desk(context: Context, author: str):
    context.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
    context.add_cleanup(context.runner.close)

    async def begin():
        desk = Desk()
        context.desk = desk
        await asyncio.sleep(1)
        await desk.apply(author, 0, desk.text())
        assert desk.told[author].version == 1
        await asyncio.sleep(2)

    context.runner.run(begin())
    world = context.desk.world
    context.add_cleanup(lambda: context.runner.run(world.close()))


@when('"{first}" and "{second}" both apply a document made from version 1')
def step_race(context: Context, first: str, second: str):
    async def happen(desk: Desk):
        await asyncio.gather(
            desk.apply(first, 1, desk.text()),
            desk.apply(second, 1, desk.text()),
        )
        await asyncio.sleep(2)

    play(context, happen)


def winner_of(desk: Desk) -> str:
    winners = [
        name
        for name, told in desk.told.items()
        if isinstance(told, DocumentVersion)
    ]
    assert len(winners) == 1, desk.told
    return winners[0]


@then('one of them has the next version')
def step_winner(context: Context):
    desk = context.desk
    assert desk.told[winner_of(desk)].base == 1


@then('the other has a Conflict that names the winner and its version')
def step_loser(context: Context):
    desk = context.desk
    winner = winner_of(desk)
    lost = next(told for name, told in desk.told.items() if name != winner)
    assert isinstance(lost, Conflict), lost
    assert lost.fields['author'] == winner
    assert lost.fields['version'] == desk.told[winner].version


@then("every node has the winner's document in force")
def step_in_force(context: Context):
    desk = context.desk
    won = desk.told[winner_of(desk)]
    for name in desk.nodes:
        assert desk.in_force(name) == won


@given('the answers of the log are lost half of the time')
def step_lost(context: Context):
    for node in context.desk.nodes.values():
        node.client.faults.lose_answer = 0.5


@when('"{operator}" applies {count:d} documents one after the other')
def step_many(context: Context, operator: str, count: int):
    async def happen(desk: Desk):
        context.versions = []
        base = 1
        for _ in range(count):
            told = await desk.apply(operator, base, desk.text())
            assert isinstance(told, DocumentVersion), told
            base = told.version
            context.versions.append(base)

    play(context, happen)


@then(
    'each came in force once, in order, with the version that "{name}" was told'
)
def step_versions(context: Context, name: str):
    history = context.desk.nodes[name].operations.history(PRODUCTION)
    assert [found.version for found in history] == [1, *context.versions]


@when('"{operator}" applies a document made from version {base:d}')
def step_apply(context: Context, operator: str, base: int):
    async def happen(desk: Desk):
        await desk.apply(operator, base, desk.text())

    play(context, happen)


@then('"{operator}" has a Conflict that names "{other}"')
def step_conflict(context: Context, operator: str, other: str):
    told = context.desk.told[operator]
    assert isinstance(told, Conflict), told
    assert told.fields['author'] == other


@when('"{operator}" applies a document with an unknown team in a queue')
def step_invalid(context: Context, operator: str):
    async def happen(desk: Desk):
        text = desk.text(edit=('queue proof', 'team', 'nobody'))
        await desk.apply(operator, 1, text)

    play(context, happen)


@when('"{operator}" applies the production document to trial')
def step_wrong_environment(context: Context, operator: str):
    async def happen(desk: Desk):
        await desk.apply(operator, 0, desk.text(), TRIAL)

    play(context, happen)


@when('"{operator}" lowers the limit of "proofs" to 100 tasks while 120 run')
def step_lower(context: Context, operator: str):
    async def happen(desk: Desk):
        text = desk.text(edit=('team proofs', 'limit_tasks', '100'))
        used = {'proofs': Resources(slots=120)}
        await desk.apply(operator, 1, text, used=used)

    play(context, happen)


@then('"{operator}" has InvalidDocument and the log is as long as before')
def step_refused(context: Context, operator: str):
    desk = context.desk
    assert isinstance(desk.told[operator], InvalidDocument)
    assert len(desk.told[operator].fields['errors']) == 1
    assert desk.world.service.end == desk.length


@when('"{operator}" applies a document with {option} = {value} in [{section}]')
def step_edit(
    context: Context, operator: str, option: str, value: str, section: str
):
    async def happen(desk: Desk):
        text = desk.text(edit=(section, option, value))
        await desk.apply(operator, 1, text)

    play(context, happen)


@then('"{operator}" has InvalidDocument that allows {allowed}')
def step_allows(context: Context, operator: str, allowed: str):
    step_refused(context, operator)
    told = context.desk.told[operator]
    assert told.fields['errors'][0]['allowed'] == allowed, told


@then('"{operator}" has the next version')
def step_next(context: Context, operator: str):
    told = context.desk.told[operator]
    assert isinstance(told, DocumentVersion), told
    assert told.base == 1


@when('"{operator}" applies a trial document and promotes it')
def step_promote(context: Context, operator: str):
    async def happen(desk: Desk):
        text = desk.text(TRIAL, edit=('team proofs', 'limit_tasks', '170'))
        trial = await desk.apply(operator, 0, text, TRIAL)
        operations = desk.nodes[operator].operations
        desk.told[operator] = await operations.promote(
            trial.version, 1, operator
        )

    play(context, happen)


@then("production has the trial document's options under its own name")
def step_promoted(context: Context):
    desk = context.desk
    trial = desk.in_force('budi', TRIAL).text
    promoted = desk.in_force('budi').text
    assert promoted == trial.replace('name = trial', 'name = production')
    document = desk.nodes['budi'].reader.state.document
    assert document.environment == PRODUCTION
    assert document.team_limit('proofs').slots == 170


@then('the history of production names "{first}" and then "{second}"')
def step_history(context: Context, first: str, second: str):
    history = context.desk.nodes['budi'].operations.history(PRODUCTION)
    assert [found.author for found in history] == [first, second]


@when('"{first}" applies a trial document and "{second}" another one')
def step_trials(context: Context, first: str, second: str):
    async def happen(desk: Desk):
        trial = await desk.apply(first, 0, desk.text(TRIAL), TRIAL)
        context.trial_version = trial.version
        await asyncio.sleep(2)
        await desk.apply(second, trial.version, desk.text(TRIAL), TRIAL)
        await asyncio.sleep(2)

    play(context, happen)


@when('"{operator}" promotes the trial version that "{operator2}" applied')
def step_promote_old(context: Context, operator: str, operator2: str):
    async def happen(desk: Desk):
        desk.told[operator] = await desk.nodes[operator].operations.promote(
            context.trial_version, 1, operator
        )

    play(context, happen)


@when('the log is down and "{operator}" applies a document made from version 1')
def step_down(context: Context, operator: str):
    async def happen(desk: Desk):
        desk.world.service.is_down = True
        await desk.apply(operator, 1, desk.text())

    play(context, happen)


@then('"{operator}" has LogUnavailable that says whether it may have applied')
def step_unavailable(context: Context, operator: str):
    told = context.desk.told[operator]
    assert isinstance(told, LogUnavailable), told
    assert told.fields['may_have_applied'] is True


@then('every node has it in force within {seconds:g} s')
def step_within(context: Context, seconds: float):
    async def check(desk: Desk):
        began = now()
        version = desk.told['budi']
        while any(desk.in_force(name) != version for name in desk.nodes):
            await asyncio.sleep(0.05)
            assert now() - began <= seconds

    play(context, check)


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
    """Put an evaluation into the words of the examples."""
    admissions = [
        f'{line.queue} refuses {line.team}: {line.after}'
        if line.after
        else f'{line.queue} takes {line.team} again'
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


@then('the evaluation says {said}')
def step_said(context: Context, said: str):
    lines = lines_of(context.evaluation)
    if said == 'nothing':
        assert not lines, lines
    else:
        assert said in lines, lines
