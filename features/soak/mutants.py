"""Break one rule at a time and name the seed that catches it.

Run from the root: ``python -m features.soak.mutants [NAME ...]``.
"""

import sys
from collections.abc import Callable
from typing import Any, Final
from unittest import mock

from berylspread.calls.registry import RequestRegistry
from berylspread.calls.slots import CallSlots
from berylspread.jobs.job_table import JobTable
from berylspread.jobs.reconcile import Reconciler
from berylspread.limits import QuotaLedger
from berylspread.partition.owner import PartitionOwner
from berylspread.partition.reports import ReportReader
from berylspread_standins.soak import run_seed

MINUTES: Final = 2.0
SEEDS: Final = range(1, 6)
Patch = tuple[type[Any], str, Any]


def settle_at_once(reconciler: Reconciler) -> dict[str, str]:
    """Find no partition whose inventory is missing."""
    return {}


def restore_nothing(*arguments: object) -> None:
    """Count no unsure task."""


def register_all(registry: RequestRegistry, ask: Any) -> Any:
    """Let every copy of a request through."""
    registry.first_entry_nodes.pop(ask.request_id, None)
    registry.certain_from = 0.0
    return REGISTER(registry, ask)


def free_at_once(slots: CallSlots, message: Any) -> str:
    """Free the slot of a call that may still run."""
    slots.owner.ledger.release(f'call:{message.request_id}.{message.attempt}')
    return DONE(slots, message)


def lose_at_once(reader: ReportReader, link: Any) -> Any:
    """Lose the tasks of a silent worker before their leases lapse."""
    for attempt in link.attempts.values():
        if link.failures and attempt not in link.starts:
            attempt.lease_lapses_at = float('-inf')
    return LAPSE(reader, link)


def take_any(job_table: JobTable, event: Any) -> bool:
    """Apply the events of former attempts."""
    progress = job_table.jobs.get(event.task.job_id)
    handed = progress.handed_out.get(event.task.index) if progress else None
    if handed is not None:
        handed.attempt = event.attempt
    return APPLY(job_table, event)


REGISTER: Final = RequestRegistry.register
DONE: Final = CallSlots.release
LAPSE: Final = ReportReader.expire_leases
APPLY: Final = JobTable.apply_event

#: The class, the attribute and what takes its place, by the broken rule.
MUTANTS: Final[dict[str, Patch]] = {
    'lease-lapse-ignored': (ReportReader, 'expire_leases', lose_at_once),
    'inventories-not-awaited': (
        Reconciler,
        '_unsettled_partitions',
        settle_at_once,
    ),
    'unsure-tasks-not-counted': (QuotaLedger, 'restore', restore_nothing),
    'request-copies-let-through': (RequestRegistry, 'register', register_all),
    'slot-freed-while-busy': (CallSlots, 'release', free_at_once),
    'former-attempts-applied': (JobTable, 'apply_event', take_any),
    'inventory-always-complete': (PartitionOwner, 'is_complete', True),
}


def catch(name: str, run: Callable[..., dict[str, Any]] = run_seed) -> str:
    """Return the first seed that catches a mutant and what it saw."""
    owner, attribute, broken = MUTANTS[name]
    with mock.patch.object(owner, attribute, broken):
        for seed in SEEDS:
            problems = run(seed, MINUTES)['problems']
            if problems:
                return f'seed {seed}: {problems[0][:60]}'
    return 'not caught'


def main(names: list[str]) -> None:
    """Print the seed that catches each mutant."""
    for name in names or list(MUTANTS):
        sys.stdout.write(f'{name}: {catch(name)}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main(sys.argv[1:])
