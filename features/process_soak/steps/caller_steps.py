"""Steps about the callers of the soak."""

import asyncio
import random
from pathlib import Path

import aiohttp
from behave import given, then, when

from berylspread_standins.process_soak import ProcessFleet
from berylspread_standins.process_soak.callers import GANGS, LASTING, Callers
from berylspread_standins.process_soak.fleet import NodeProcess

LIMIT_S = 10.0
ANSWER = b'HTTP/1.1 %d Any\r\nContent-Length: 0\r\n\r\n'


class LastingOnly(random.Random):
    """Draws lasting jobs, and nothing that is late."""

    def random(self):
        """Return a number for which a job is lasting."""
        return GANGS + LASTING / 2


@given(
    'a node that answers a submission with "{submission}" and a cancel with '
    '{cancels}'
)
def step_node(context, submission, cancels):
    context.submission = 0 if submission == 'nothing' else int(submission)
    context.cancels = [int(each) for each in cancels.split(', ')]
    context.cancel_count = 0


async def _hand_in(context):
    async def serve(reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        status = context.submission
        if head.startswith(b'DELETE'):
            status = context.cancels[context.cancel_count]
            context.cancel_count += 1
        if status:
            writer.write(ANSWER % status)
        writer.close()

    node = NodeProcess(0, Path())
    fleet = ProcessFleet(Path(), random.Random(1))
    fleet.nodes.append(node)
    callers = Callers(fleet, LastingOnly(1))
    port = int(node.front.rpartition(':')[2])
    server = await asyncio.start_server(serve, node.ip, port)
    callers.session = aiohttp.ClientSession()
    async with asyncio.timeout(LIMIT_S):
        await callers._hand_in()
    await callers.close()
    server.close()


@when('a lasting job is handed in there')
def step_hand_in(context):
    asyncio.run(_hand_in(context))


@then('the node has got {count:d} cancels')
def step_cancels(context, count):
    assert context.cancel_count == count, context.cancel_count
