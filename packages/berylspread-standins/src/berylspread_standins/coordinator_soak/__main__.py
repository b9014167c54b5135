"""Command ``python -m berylspread_standins.coordinator_soak``."""

import itertools
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import Final

import fire
from absl import logging

from berylspread_standins.coordinator_soak.run import (
    Options,
    Result,
    count_kinds,
    run_seed,
    shrink,
)

MAX_SHOWN: Final = 5


def main(
    first: int = 1,
    count: int = 20,
    processes: int = 2,
    sequence: str = '',
    *,
    crosses_lives: bool = False,
    late_kills: bool = False,
    shrinks: bool = False,
) -> None:
    """Run seeds; exit 1 if one violates a check.

    ``crosses_lives`` lets late orders reach the next life of a worker;
    ``late_kills`` lets workers need a while to kill what a lease kept;
    ``sequence`` names one of ``SEQUENCES``, or all of them as ``mixed``;
    ``shrinks`` leaves out the faults that a violation does not need.
    """
    options = Options(
        crosses_lives=crosses_lives, late_kills=late_kills, sequence=sequence
    )
    failed: list[Result] = []
    starts, claims = 0, 0
    with ProcessPoolExecutor(processes) as pool:
        seeds = range(first, first + count)
        for result in pool.map(run_seed, seeds, itertools.repeat(options)):
            starts += result.starts
            claims += result.claims
            if result.violations:
                failed.append(result)
                _show(result, options, shrinks=shrinks)
    print(
        f'{count} seeds from {first}: {starts} starts, {claims} claims, '
        f'{len(failed)} failed {count_kinds(failed)}'
    )
    sys.exit(1 if failed else 0)


def _show(result: Result, options: Options, *, shrinks: bool) -> None:
    if shrinks:
        result = shrink(result, options)
    print(f'seed {result.seed}: {len(result.violations)} violations')
    for violation in result.violations[:MAX_SHOWN]:
        print(f'  {violation}')
    if shrinks:
        for fault in result.faults:
            print(f'  {fault.describe()}')
        for line in result.trace:
            print(f'    {line}')
    sys.stdout.flush()


if __name__ == '__main__':
    logging.set_verbosity(logging.FATAL)
    fire.Fire(main)
