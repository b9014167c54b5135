"""Run the benchmarks: ``python -m bench.run [NAME ...]``."""

import importlib
import pkgutil
import sys
import time

import bench
from bench.registry import benchmarks


def main(names: list[str]) -> int:
    """Run the named benchmarks, or all; return 1 if a bound was missed."""
    for module in pkgutil.iter_modules(bench.__path__):
        if module.name != 'run':
            importlib.import_module(f'bench.{module.name}')
    known = benchmarks()
    unknown = [name for name in names if name not in known]
    if unknown:
        print(f'no benchmark is called {unknown[0]!r}; known: {list(known)}')
        return 2
    missed = []
    for name in names or known:
        print(f'== {name}', flush=True)
        started_at = time.perf_counter()
        if not known[name]():
            missed.append(name)
        print(f'   {time.perf_counter() - started_at:.1f} s', flush=True)
    for name in missed:
        print(f'bound missed: {name}')
    return 1 if missed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
