"""Measures every line, prints it, and writes coefficients and tables.

Usage: ``python -m bench.capacity [--check]``; ``--check`` writes nothing and
tells how far the run is from the kept coefficients.
"""

import pathlib
import sys
import time

import msgspec

from bench.capacity import memory, processor, scenarios, sizes, sockets
from bench.capacity.fit import Line
from bench.capacity.imports import measure as measure_imports
from bench.capacity.page import write_tables

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
KEPT = ROOT / 'packages/berylspread/src/berylspread/capacity/coefficients.json'
PARTS = (sizes, processor, sockets, memory, scenarios)


def measure() -> dict[str, Line]:
    """Run every part."""
    found = dict(measure_imports())
    for part in PARTS:
        began = time.monotonic()
        found.update(part.measure())
        name = part.__name__.rpartition('.')[2]
        print(f'{name}: {time.monotonic() - began:.0f} s')
    return found


def show(found: dict[str, Line]) -> None:
    """Print every line with its sizes and its worst residual."""
    for name, line in found.items():
        spread = ' '.join(f'{size:g}' for size in line.sizes)
        print(
            f'{name:40} {line.slope:12.5g} + {line.intercept:11.5g}'
            f'  residual {line.residual:6.1%}  at {spread}'
        )


def compare(found: dict[str, Line]) -> None:
    """Print each slope against the kept one."""
    kept = msgspec.json.decode(KEPT.read_bytes(), type=dict[str, Line])
    for name, line in found.items():
        if name in kept and kept[name].slope:
            print(f'{name:40} {line.slope / kept[name].slope:8.3f} of the kept')


def main() -> None:
    """Measure and write, or compare."""
    found = measure()
    show(found)
    if '--check' in sys.argv[1:]:
        compare(found)
        return
    blob = msgspec.json.format(msgspec.json.encode(_rounded(found)), indent=1)
    KEPT.write_bytes(b'%s\n' % blob)
    write_tables()


def _rounded(found: dict[str, Line]) -> dict[str, Line]:
    return {
        name: Line(
            float(f'{line.slope:.4g}'),
            float(f'{line.intercept:.4g}'),
            float(f'{line.residual:.2g}'),
            tuple(round(size, 1) for size in line.sizes),
        )
        for name, line in sorted(found.items())
    }


if __name__ == '__main__':
    main()
