"""The registry of benchmarks, which ``make bench`` runs one after the other."""

from collections.abc import Callable
from typing import Final

Benchmark = Callable[[], bool]

_benchmarks: Final[dict[str, Benchmark]] = {}


def benchmark(name: str) -> Callable[[Benchmark], Benchmark]:
    """Register a function that prints results; it returns if bounds held."""

    def register(function: Benchmark) -> Benchmark:
        if name in _benchmarks:
            raise TypeError(f'benchmark {name!r} is registered twice')
        _benchmarks[name] = function
        return function

    return register


def benchmarks() -> dict[str, Benchmark]:
    """Return the registered benchmarks by name."""
    return dict(_benchmarks)
