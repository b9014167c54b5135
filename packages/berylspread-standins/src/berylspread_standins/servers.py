"""Log service, VM list and workers of one process over real sockets."""

from pathlib import Path
from typing import Final, final

import msgspec
from absl import logging

from berylspread.kernel.clock import WallClock
from berylspread.model import Resources, Vm, VmRole
from berylspread_standins.http_apps import log_app, vm_list_app, workers_app
from berylspread_standins.log_service import LogService, Retention
from berylspread_standins.observer import Observer
from berylspread_standins.serving import HttpServer
from berylspread_standins.worker import CAPACITY, Checks, Worker

WORKERS_PER_RACK: Final = 8
#: Region and availability zone of each rack in turn.
RACK_ZONES: Final = (
    'central-java/pekalongan',
    'central-java/batang',
    'east-java/sidoarjo',
)


@final
class Addresses(msgspec.Struct, frozen=True):
    """Where the stand-ins serve, each as ``IP:port``."""

    log: str
    vms: str
    workers: list[str]


@final
class ServerOptions(msgspec.Struct, frozen=True):
    """What to serve; port 0 takes any free port.

    ``vms_file`` holds further VMs as a JSON list and is read at each request;
    ``rack_zones`` names region and zone of each rack of eight workers in turn.
    """

    workers: int
    log_port: int = 0
    vms_port: int = 0
    first_worker_port: int = 0
    vms_file: str = ''
    rack_zones: tuple[str, ...] = RACK_ZONES
    capacity: Resources = CAPACITY
    checks: Checks = Checks.full


@final
class StandinServers:
    """The servers of one process, and what they serve."""

    __slots__ = (
        'entries',
        'log',
        'observer',
        'options',
        'service',
        'vms',
        'workers',
    )

    def __init__(
        self, options: ServerOptions, *, retention: Retention | None = None
    ) -> None:
        """Bind all ports."""
        wall = WallClock()
        self.options = options
        self.observer = Observer()
        self.entries: list[Vm] = []
        self.service = LogService(retention=retention, wall=wall)
        served: dict[int, Worker] = {}
        self.log = HttpServer(log_app(self.service), (options.log_port,))
        self.vms = HttpServer(vm_list_app(self.listed), (options.vms_port,))
        self.workers = HttpServer(workers_app(served), _worker_ports(options))
        for index, address in enumerate(self.workers.addresses):
            served[self.workers.ports[index]] = Worker(
                _worker_vm(index, address, options.rack_zones),
                capacity=options.capacity,
                checks=options.checks,
                observer=self.observer,
                wall=wall,
            )

    @property
    def addresses(self) -> Addresses:
        """Return where everything serves."""
        return Addresses(
            self.log.addresses[0],
            self.vms.addresses[0],
            self.workers.addresses,
        )

    def listed(self) -> list[Vm]:
        """Return the workers, the entry VMs, and the VMs in the file."""
        found = [
            _worker_vm(index, address, self.options.rack_zones)
            for index, address in enumerate(self.workers.addresses)
        ]
        found += self.entries
        if self.options.vms_file:
            found += _read_vms(Path(self.options.vms_file))
        return found

    async def start(self) -> None:
        """Start to serve."""
        for server in (self.log, self.vms, self.workers):
            await server.start()

    async def stop(self) -> None:
        """Stop to serve."""
        for server in (self.workers, self.vms, self.log):
            await server.stop()


def _worker_ports(options: ServerOptions) -> list[int]:
    if options.first_worker_port == 0:
        return [0 for _ in range(options.workers)]
    first = options.first_worker_port
    return list(range(first, first + options.workers))


def _worker_vm(index: int, address: str, rack_zones: tuple[str, ...]) -> Vm:
    rack = index // WORKERS_PER_RACK
    region, _, zone = rack_zones[rack % len(rack_zones)].partition('/')
    return Vm(
        vm_id=f'worker-{index}',
        role=VmRole.worker,
        address=address,
        region=region,
        zone=zone,
        rack=f'rack-{rack}',
    )


def _read_vms(path: Path) -> list[Vm]:
    try:
        return msgspec.json.decode(path.read_bytes(), type=list[Vm])
    except (OSError, msgspec.DecodeError) as error:
        logging.error('VM list %s is unreadable: %s', path, error)
        return []
