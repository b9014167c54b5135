"""Steps for the worked example of a plug-in."""

from importlib import util
from pathlib import Path

from behave import given, then, when

from berylspread.kernel import SectionLocation, parse_section
from berylspread.limits import CapacityLedger
from berylspread.model import JobKind, Resources, Vm, VmRole
from berylspread.placement import (
    Decision,
    DemandClass,
    DemandQueue,
    Pipeline,
    default_policy,
)
from berylspread.placement.kernel import scorers

EXAMPLE = Path(__file__).parents[3] / 'examples' / 'plugins' / 'cool_racks.py'


def load_example():
    """Import the example once; its decorator registers it."""
    if isinstance(scorers.plugins.get('cool-racks'), type):
        return scorers.plugins['cool-racks']
    spec = util.spec_from_file_location('cool_racks', EXAMPLE)
    module = util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module.CoolRacks


def configure(option):
    key, value = option.split(' = ')
    place = SectionLocation('example', 'scorer cool-racks')
    return parse_section(load_example(), place, 'cool-racks', {key: value})


@given('the example scorer with the options "{option}"')
def given_example(context, option):
    context.scorer = configure(option)
    assert context.scorer


@given('a fleet of {count:d} workers in racks "{first}" and "{second}"')
def given_racks(context, count, first, second):
    context.ledger = CapacityLedger('workers/r/k')
    for number in range(count):
        name = f'w{number}'
        rack = (first, second)[number % 2]
        vm = Vm(name, VmRole.worker, '10.0.0.1:1', 'r', 'z', rack)
        context.ledger.add_worker(vm)
        context.ledger.apply_report(name, Resources(32_000, 131_072))


@when('a document with the scorers "{names}" places {count:d} tasks')
def when_placed(context, names, count):
    section = default_policy()
    section.scorers = tuple(names.split())
    pipeline = Pipeline.from_options(section, [context.scorer])
    assert isinstance(pipeline, Pipeline), pipeline
    queue = DemandQueue()
    queue.put(
        DemandClass(
            class_id='c',
            home='teams/r/0',
            home_epoch=1,
            team='t',
            queue='q',
            job_class='c',
            kind=JobKind.batch,
            shape=Resources(1000, 1024),
            count=count,
        ),
        0.0,
    )
    context.racks = []
    while (
        found := pipeline.next_decision(queue, context.ledger.index, 0.0)
    ) is not None:
        assert isinstance(found, Decision)
        context.ledger.book(found.worker, f'k{queue.sequence}', found.shape)
        view = context.ledger.workers[found.worker]
        context.racks.append(view.vm.rack)


@then('all of them run in rack "{rack}"')
def then_rack(context, rack):
    assert set(context.racks) == {rack}, context.racks


@when('the example scorer gets the option "{option}"')
def when_wrong(context, option):
    context.refusal = configure(option)


@then('it is refused and "{known}" suggested')
def then_refused(context, known):
    assert not context.refusal
    assert context.refusal.fields['nearest'] == known
