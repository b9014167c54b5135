"""``berylspreadd``: the daemon of an entry VM."""

import asyncio
import sys
import time
from pathlib import Path
from typing import Final

import fire
import uvloop

from berylspread.kernel.errors import Failure
from berylspread_daemon.daemon import Daemon
from berylspread_daemon.settings import Settings, load_settings
from berylspread_daemon.telemetry import start_telemetry, stop_telemetry

MS_PER_S: Final = 1000


def run(settings: str) -> None:
    """Run one entry node.

    The node serves callers and operators and owns a part of the decisions.
    SIGTERM and SIGINT stop it gracefully: it reports that it is not ready,
    finishes the requests in flight and hands over every unit.

    Args:
        settings: The INI file with this node's settings.

    """
    loaded = load_settings(Path(str(settings)))
    if isinstance(loaded, Failure):
        _exit_with_failure(loaded)
        return
    problem = start_telemetry(loaded)
    if problem is not None:
        _exit_with_failure(problem)
    # Each start is a new incarnation. It is taken from the clock because a VM
    # keeps no other state over a restart.
    incarnation = int(time.time() * MS_PER_S)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(loaded, incarnation))
    finally:
        stop_telemetry()


async def _serve(settings: Settings, incarnation: int) -> None:
    await Daemon(settings, incarnation).run()


def main() -> None:
    """Run the command line."""
    fire.Fire(run, name='berylspreadd')


def _exit_with_failure(failure: Failure) -> None:
    for error in failure.fields.get('errors', [{'reason': failure.reason}]):
        sys.stderr.write(
            f'berylspreadd: {failure.name}: {_error_line(error)}\n'
        )
    sys.exit(failure.exit_code)


def _error_line(error: dict[str, object]) -> str:
    suggestion = error.get('nearest')
    hint = f'; did you mean {suggestion!r}?' if suggestion else ''
    return f'{error["reason"]}{hint}'


if __name__ == '__main__':
    main()
