"""The fleet of a replay: owners, their racks, and workers."""

import collections
import random
from typing import Any, Final, final

from bench.replay.demand import Scenario, capacity_of
from bench.replay.policies import Policy
from berylspread.health import HealthMonitor
from berylspread.limits import CapacityLedger, FreeIndex, WorkerView
from berylspread.model import ZERO, Resources, Vm, VmRole
from berylspread.placement import DemandQueue

RACK: Final = 8


@final
class Owner:
    """One node: the ledgers of its racks, one index, one pipeline."""

    __slots__ = (
        'health',
        'index',
        'ledgers',
        'number',
        'pipeline',
        'pool',
        'queue',
        'seen',
        'ticks',
    )

    def __init__(self, number: int, policy: Policy) -> None:
        """Start without workers."""
        self.number = number
        self.index = FreeIndex()
        self.ledgers: dict[str, CapacityLedger] = {}
        self.pipeline = policy.pipeline()
        self.queue = DemandQueue()
        self.health = HealthMonitor(0) if policy.has_health else None
        self.pool: Any = self.index
        self.seen: collections.Counter[str] = collections.Counter()
        self.ticks = 0

    def add_ledger(self, unit: str) -> CapacityLedger:
        """Add a partition to the node."""
        ledger = CapacityLedger(unit, self.index)
        self.ledgers[unit] = ledger
        if self.health is not None:
            self.health.add_ledger(ledger)
        return ledger

    def views(self) -> list[WorkerView]:
        """Return all workers of the node."""
        return [
            view
            for ledger in self.ledgers.values()
            for view in ledger.workers.values()
        ]


@final
class Fleet:
    """The owners with their workers; a pooled fleet is one giant worker."""

    __slots__ = ('by_worker', 'failing', 'owners', 'total')

    def __init__(self, scenario: Scenario, policy: Policy) -> None:
        """Build the racks and choose the workers that fail everything."""
        owners = 1 if policy.is_pooled else scenario.owners
        self.owners = [Owner(number, policy) for number in range(owners)]
        self.by_worker: dict[str, tuple[Owner, CapacityLedger]] = {}
        self.total = ZERO
        self.failing: set[str] = set()
        if policy.is_pooled:
            self._add_giant(scenario)
            return
        for rack in range(scenario.racks):
            self._add_rack(rack)
        rng = random.Random(3)
        self.failing = set(rng.sample(sorted(self.by_worker), scenario.failing))
        if policy.make_pool is not None:
            for owner in self.owners:
                owner.pool = policy.make_pool(owner.index, owner.views())

    def _add_rack(self, rack: int) -> None:
        owner = self.owners[rack % len(self.owners)]
        ledger = owner.add_ledger(f'workers/r/k{rack}')
        for number in range(rack * RACK, (rack + 1) * RACK):
            vm = _vm(f'w{number}', f'z{rack % 3}', f'k{rack}')
            self._add_worker(owner, ledger, vm, capacity_of(number))

    def _add_giant(self, scenario: Scenario) -> None:
        workers = range(scenario.racks * RACK)
        total = sum(map(capacity_of, workers), start=ZERO)
        owner = self.owners[0]
        ledger = owner.add_ledger('workers/r/all')
        self._add_worker(owner, ledger, _vm('all', 'z', 'k'), total)

    def _add_worker(
        self, owner: Owner, ledger: CapacityLedger, vm: Vm, capacity: Resources
    ) -> None:
        ledger.add_worker(vm)
        ledger.apply_report(vm.vm_id, capacity)
        self.total += capacity
        self.by_worker[vm.vm_id] = (owner, ledger)


def _vm(name: str, zone: str, rack: str) -> Vm:
    return Vm(name, VmRole.worker, '10.0.0.1:1', 'r', zone, rack)
