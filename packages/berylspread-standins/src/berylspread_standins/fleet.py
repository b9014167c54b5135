"""A fleet on loopback to try things on, for a bounded time.

Prints the lines that set the shell up for the ``berylspread`` command and curl.
"""

import asyncio
import logging as std_logging
import pathlib
from typing import Final

import fire
import uvloop
from absl import logging

from berylspread.config import parse_document
from berylspread.kernel import Failure
from berylspread_standins.local_fleet import LocalFleet

DOCUMENT: Final = 'examples/suryadi.ini'
WORKERS: Final = 24
LIFETIME_S: Final = 600.0
MAX_LIFETIME_S: Final = 3600.0


async def run(text: str, team: str, lifetime_s: float) -> None:
    """Serve until the lifetime is over."""
    fleet = LocalFleet(workers=WORKERS)
    try:
        await fleet.start(text)
        await fleet.make_keys([team])
        _print_exports(fleet, team)
        await asyncio.sleep(min(lifetime_s, MAX_LIFETIME_S))
    finally:
        await fleet.stop()


def _print_exports(fleet: LocalFleet, team: str) -> None:
    print(f'export BERYLSPREAD_ADDRESS={fleet.url(0)}')
    print(f'export BERYLSPREAD_KEY={fleet.keys[team]}')
    print(f'export BERYLSPREAD_TOKEN={fleet.token}', flush=True)


def main(
    team: str = 'patterns',
    document: str = DOCUMENT,
    lifetime_s: float = LIFETIME_S,
) -> None:
    """Keep three entry nodes and 24 workers up; an hour at most."""
    logging.set_verbosity(logging.ERROR)
    std_logging.getLogger('httpx').setLevel(std_logging.WARNING)
    text = pathlib.Path(document).read_text(encoding='utf-8')
    parsed = parse_document(document, text)
    if isinstance(parsed, Failure):
        raise TypeError(parsed.reason)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(text, team, lifetime_s))


if __name__ == '__main__':
    fire.Fire(main)
