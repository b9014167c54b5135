"""Command ``python -m berylspread_standins.explorer``."""

import itertools
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import Final

import fire
from absl import logging

from berylspread_standins.explorer import SCRIPTS, Finding, shrink
from berylspread_standins.explorer.search import explore, walk

PROCESSES: Final = 3
NODES: Final = 2
MAX_SHOWN: Final = 5


def _explore_script(
    script: str, nodes: int, depth: int
) -> tuple[int, list[Finding]]:
    findings = list(explore(script, nodes, depth))
    return len(findings), [found for found in findings if found.violations]


def _walk_script(script: str, nodes: int, seed: int) -> Finding:
    return walk(script, nodes, seed)


def _search(
    nodes: int, depth: int, first: int, walks: int
) -> Iterator[tuple[str, int, list[Finding]]]:
    with ProcessPoolExecutor(PROCESSES) as pool:
        counted = pool.map(
            _explore_script,
            SCRIPTS,
            itertools.repeat(nodes),
            itertools.repeat(depth),
        )
        for script, (count, found) in zip(SCRIPTS, counted, strict=True):
            yield f'{script}, depth {depth}', count, found
        seeds = range(first, first + walks)
        for script in SCRIPTS:
            walked = pool.map(
                _walk_script,
                itertools.repeat(script),
                itertools.repeat(nodes),
                seeds,
            )
            bad = [finding for finding in walked if finding.violations]
            yield f'{script}, walks {first} to {seeds[-1]}', walks, bad


def main(
    depth: int = 1, nodes: int = NODES, walks: int = 20, first: int = 1
) -> None:
    """Explore all scripts; exit 1 if a schedule violates a check.

    Every schedule with at most ``depth`` deviations is run, then ``walks``
    random ones of each script, with seeds from ``first`` on.
    """
    failed = 0
    total = 0
    for name, count, found in _search(nodes, depth, first, walks):
        total += count
        failed += len(found)
        print(f'{name}: {count} schedules, {len(found)} violations', flush=True)
        for finding in found[:MAX_SHOWN]:
            print(shrink(finding).describe(), flush=True)
    print(f'{total - failed} passed, {failed} failed')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    logging.set_verbosity(logging.FATAL)
    fire.Fire(main)
