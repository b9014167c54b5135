"""Steps about listening before the imports."""

import json
import os
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

LOOPBACK = '127.0.0.1'
#: Prints where the process listens and what it has imported, then waits.
SCRIPT = """
import json, sys
from berylspread_platform.early import listen_for_callers
bound = listen_for_callers()
address = None if bound is None else bound.getsockname()
print(json.dumps([address, sorted(sys.modules)]), flush=True)
sys.stdin.read()
"""


def write_settings(context, text):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.settings_path = Path(directory.name) / 'local.toml'
    if text is not None:
        context.settings_path.write_text(text, encoding='utf-8')


@given('settings of a new process with a free port for callers')
def step_free_port(context):
    write_settings(context, f'[listenAddrs]\nfront = "{LOOPBACK}:0"\n')


@given('settings of a new process that does not exist')
def step_missing(context):
    write_settings(context, None)


@given('settings of a new process that is no TOML')
def step_no_toml(context):
    write_settings(context, '[listenAddrs')


@given('settings of a new process without addresses')
def step_no_addresses(context):
    write_settings(context, 'nodeName = "entry-1"\nlistenAddrs = 5\n')


@given('settings of a new process with a taken address')
def step_taken(context):
    taken = socket.create_server((LOOPBACK, 0))
    context.add_cleanup(taken.close)
    port = taken.getsockname()[1]
    write_settings(context, f'[listenAddrs]\nfront = "{LOOPBACK}:{port}"\n')


@when('a new process listens for callers')
def step_listen(context):
    process = subprocess.Popen(
        (sys.executable, '-S', '-c', SCRIPT),
        env={
            **os.environ,
            'BERYLSPREAD_SETTINGS': str(context.settings_path),
            'PYTHONPATH': os.pathsep.join(sys.path),
        },
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(process.communicate)
    context.address, context.modules = json.loads(process.stdout.readline())


@then('a caller can connect')
def step_connect(context):
    socket.create_connection(context.address).close()


@then('the process has imported none of "{names}"')
def step_not_imported(context, names):
    assert not set(names.split()) & set(context.modules)


@then('it listens nowhere')
def step_nowhere(context):
    assert context.address is None, context.address
