"""Steps about crowds of callers against one process of the program."""

import asyncio
import random
import shutil
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from berylspread.kernel.clock import now
from berylspread_standins.process_soak import ProcessFleet
from berylspread_standins.process_soak.crowds import (
    Crowd,
    ask,
    ordinary_request,
    request_at_limits,
)

KIB = 1024
ACCEPTED = 200
READY_LIMIT_S = 60.0
CALM_LIMIT_S = 60.0
CALL_LIMIT_S = 10.0
POLL_S = 0.2
#: What was sent waits in the system's buffers and is read within this time.
SETTLE_S = 5.0
WORKERS = 2


class World:
    """One process of the program, its platform, and the crowds on it."""

    def __init__(self):
        self.folder = Path(tempfile.mkdtemp(prefix='crowd-'))
        self.fleet = ProcessFleet(self.folder, random.Random(1))
        self.crowds = []
        self.most_descriptors = 0
        self.runner = asyncio.Runner()
        self.run = self.runner.run

    async def start(self):
        await self.fleet.start(1, WORKERS)
        ends_at = now() + READY_LIMIT_S
        while not await self.node.is_ready():
            assert now() < ends_at, 'the program is not ready'
            await asyncio.sleep(POLL_S)

    @property
    def node(self):
        return self.fleet.nodes[0]

    @property
    def proc(self):
        return Path('/proc') / str(self.node.process.pid)

    async def send(self, crowds):
        """Send a list of kind, address, connections and bytes each."""
        watching = asyncio.create_task(self.watch())
        sending = []
        for kind, port, connections, size in crowds:
            crowd = Crowd(kind, getattr(self.node, port), size)
            self.crowds.append(crowd)
            sending.append(crowd.send(connections))
        await asyncio.gather(*sending)
        await asyncio.sleep(SETTLE_S)
        watching.cancel()

    async def watch(self):
        while True:
            self.count_descriptors()
            await asyncio.sleep(POLL_S)

    def count_descriptors(self):
        try:
            count = len(list((self.proc / 'fd').iterdir()))
        except OSError:
            # The process has ended, which another step tells.
            return
        self.most_descriptors = max(self.most_descriptors, count)

    def peak_memory_mb(self):
        for line in (self.proc / 'status').read_text().splitlines():
            name, _, text = line.partition(':')
            if name == 'VmHWM':
                return int(text.split()[0]) / KIB
        return None

    async def stop(self):
        for crowd in self.crowds:
            crowd.close()
        await self.fleet.stop()
        shutil.rmtree(self.folder)


def _close(context):
    context.world.run(context.world.stop())
    context.world.runner.close()


@given('a process of the program with {memory:d} MB and {files:d} descriptors')
def step_process(context, memory, files):
    context.world = World()
    context.add_cleanup(_close, context)
    context.world.fleet.options.more_settings = (
        f'[limits]\nmemoryMb = {memory}\nmaxFds = {files}\n'
    )
    context.world.run(context.world.start())


@when(
    '{connections:d} connections to its {port} port send {kind}, up to '
    '{size:d} bytes each'
)
def step_crowd(context, connections, port, kind, size):
    context.world.run(context.world.send([(kind, port, connections, size)]))


@when('these connections send at the same time')
def step_crowds(context):
    crowds = [
        (row['kind'], row['port'], int(row['connections']), int(row['bytes']))
        for row in context.table
    ]
    context.world.run(context.world.send(crowds))


@when('a caller sends one request right at the limits')
def step_at_limits(context):
    context.status = context.world.run(
        ask(context.world.node.front, request_at_limits(), CALL_LIMIT_S)
    )


@then('it is accepted')
def step_accepted(context):
    assert context.status == ACCEPTED, context.status


@then('the process lives')
def step_lives(context):
    code = context.world.node.process.returncode
    assert code is None, f'it ended with {code}'


@then('its memory stayed under {memory:d} MB')
def step_memory(context, memory):
    peak = context.world.peak_memory_mb()
    sys.stdout.write(f'peak memory: {peak:.0f} MB\n')
    assert peak < memory, f'{peak:.0f} MB'


@then('its descriptors stayed under {files:d}')
def step_descriptors(context, files):
    most = context.world.most_descriptors
    sys.stdout.write(f'most descriptors: {most}\n')
    assert most < files, most


@then('it has ended every connection of the crowd')
def step_ended(context):
    crowd = context.world.crowds[0]
    context.world.run(crowd.wait_ended())
    count = crowd.is_ended.count(False)
    assert not count, f'{count} of {len(crowd.is_ended)} are open'


@then('an ordinary job is accepted')
def step_ordinary(context):
    async def is_accepted():
        ends_at = now() + CALM_LIMIT_S
        while now() < ends_at:
            status = await ask(
                context.world.node.front, ordinary_request(), CALL_LIMIT_S
            )
            if status == ACCEPTED:
                return True
            await asyncio.sleep(POLL_S)
        return False

    assert context.world.run(is_accepted()), 'no job was accepted'
