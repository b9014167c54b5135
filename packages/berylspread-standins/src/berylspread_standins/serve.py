"""Serve stand-ins on loopback for a bounded time.

``python -m berylspread_standins.serve --workers 24`` prints one JSON line with
the addresses, serves until its lifetime is over or it is interrupted, and
prints what the observer saw as another line.
"""

import asyncio
import signal
from typing import Any, Final, final

import fire
import msgspec

from berylspread_standins.observer import Observer, Violation
from berylspread_standins.servers import (
    RACK_ZONES,
    ServerOptions,
    StandinServers,
)

LIFETIME_S: Final = 600.0
MAX_LIFETIME_S: Final = 3600.0
WORKERS: Final = 24


@final
class Summary(msgspec.Struct, frozen=True):
    """What the workers ran: counts by kind, and each violation."""

    counts: dict[str, int]
    violations: list[Violation]


def serve(
    *,
    workers: int = WORKERS,
    log_port: int = 0,
    vms_port: int = 0,
    first_worker_port: int = 0,
    vms_file: str = '',
    rack_zones: str = '',
    lifetime_s: float = LIFETIME_S,
) -> None:
    """Serve log service, VM list and workers on 127.0.0.1.

    Args:
        workers: Number of workers, eight to a rack.
        log_port: Port of the log service; 0 takes a free one.
        vms_port: Port of the VM list; 0 takes a free one.
        first_worker_port: Port of the first worker; 0 takes free ones.
        vms_file: JSON list of further VMs, read at each request.
        rack_zones: Region and zone of each rack in turn, as ``a/b,a/c``.
        lifetime_s: Seconds after which the process ends, 3600 at most.

    """
    options = ServerOptions(
        workers=workers,
        log_port=log_port,
        vms_port=vms_port,
        first_worker_port=first_worker_port,
        vms_file=vms_file,
        rack_zones=_split(rack_zones) or RACK_ZONES,
    )
    asyncio.run(_serve(options, min(lifetime_s, MAX_LIFETIME_S)))


async def _serve(options: ServerOptions, lifetime_s: float) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    servers = StandinServers(options)
    await servers.start()
    _print(servers.addresses)
    timer = loop.call_later(lifetime_s, stopped.set)
    await stopped.wait()
    timer.cancel()
    await servers.stop()
    _print(_summary(servers.observer))


def _summary(observer: Observer) -> Summary:
    return Summary(dict(observer.counts), observer.violations)


def _split(rack_zones: Any) -> tuple[str, ...]:
    # Fire reads `a,b` as a tuple.
    if isinstance(rack_zones, str):
        rack_zones = rack_zones.split(',')
    return tuple(zone for zone in rack_zones if zone)


def _print(shown: msgspec.Struct) -> None:
    print(msgspec.json.encode(shown).decode(), flush=True)


if __name__ == '__main__':
    fire.Fire(serve)
