"""Steps about SIGHUP to a process of the program."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from behave import given, then, when

from berylspread_platform import hangups

LOOPBACK = '127.0.0.1'
#: Time limit of a start, which takes a second, because the machine may be busy.
START_LIMIT_S = 60.0
POLL_S = 0.005
SETTINGS = """
nodeName = "entry-1"
ip = "127.0.0.1"
zone = "z1"
region = "r1"
portRange = [{},{}]
[listenAddrs]
front = "127.0.0.1:{}"
readyAddr = "127.0.0.1:{}"
metrics = "127.0.0.1:{}"
[platform]
address = "127.0.0.1:{}"
"""
PORTS = 5


def free_ports():
    sockets = [socket.create_server((LOOPBACK, 0)) for _ in range(PORTS)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


@given('the settings file of a process that has no platform')
def step_settings(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    peer, *others = free_ports()
    context.front = others[0]
    context.settings_path = Path(directory.name) / 'local.toml'
    context.settings_path.write_text(
        SETTINGS.format(peer, peer, *others), encoding='utf-8'
    )


def start(context):
    context.process = subprocess.Popen(
        (sys.executable, '-m', 'berylspread_platform'),
        env={
            **os.environ,
            'BERYLSPREAD_SETTINGS': str(context.settings_path),
        },
        stdout=subprocess.PIPE,
    )
    context.add_cleanup(context.process.stdout.close)
    context.add_cleanup(context.process.wait)
    context.add_cleanup(context.process.kill)
    # Ends the reading of its log, too.
    limit = threading.Timer(START_LIMIT_S, context.process.kill)
    limit.start()
    context.add_cleanup(limit.cancel)


def read_until(context, event):
    """Return whether the process logs the event before it ends."""
    return any(
        json.loads(line)['event'] == event for line in context.process.stdout
    )


def wait_until_listening(context):
    ends_at = time.monotonic() + START_LIMIT_S
    while time.monotonic() < ends_at:
        try:
            socket.create_connection((LOOPBACK, context.front)).close()
        except ConnectionRefusedError:
            time.sleep(POLL_S)
        else:
            return
    raise AssertionError('the process does not listen')


@when('the process starts and gets SIGHUP as soon as it listens for callers')
def step_early_signal(context):
    start(context)
    wait_until_listening(context)
    context.process.send_signal(signal.SIGHUP)


@when('the process starts and gets SIGHUP once it has logged "{event}"')
def step_late_signal(context, event):
    start(context)
    assert read_until(context, event)
    context.process.send_signal(signal.SIGHUP)


@then('it logs "{first:w}" and then "{second:w}"')
def step_logs_both(context, first, second):
    step_logs(context, first)
    step_logs(context, second)


@then('it logs "{event:w}"')
def step_logs(context, event):
    assert read_until(context, event), context.process.wait()


@then('it still runs')
def step_runs(context):
    assert context.process.poll() is None


@given('a handler that counts SIGHUP')
def step_handler(context):
    context.handled = []
    former = signal.signal(
        signal.SIGHUP, lambda number, _frame: context.handled.append(number)
    )
    context.add_cleanup(signal.signal, signal.SIGHUP, former)


@when('SIGHUP is held back and sent')
def step_hold(context):
    hangups.hold_hangups()
    context.add_cleanup(hangups.release_hangups)
    # Other threads of the test process do not block it.
    signal.raise_signal(signal.SIGHUP)


@when('SIGHUP is released')
def step_release(context):
    hangups.release_hangups()


@then('it has been handled {count:d} times')
def step_handled(context, count):
    assert len(context.handled) == count, context.handled
