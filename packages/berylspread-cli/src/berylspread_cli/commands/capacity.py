"""``berylspread capacity``: the load of a fleet on its entry VMs."""

from typing import Any, Final

import msgspec

from berylspread.capacity import Estimate, Fleet, estimate, load_coefficients
from berylspread.kernel.errors import InvalidInput
from berylspread_cli.output import fail, show_fields, show_json, show_table

MIB: Final = 1024 * 1024
PERCENT: Final = 100
COLUMNS: Final = (
    'role',
    'messages_per_s',
    'kb_per_s',
    'cores',
    'memory_mib',
)


def show_capacity(fleet: Fleet, *, as_json: bool) -> None:
    """Print the estimated load; no request is sent."""
    invalid = [
        name
        for name in fleet.__struct_fields__
        if not _is_amount(getattr(fleet, name))
    ]
    if invalid or fleet.nodes < 1:
        fail(
            InvalidInput(
                'each value must be a finite number of at least 0, and nodes'
                ' at least 1',
                fields=invalid or ['nodes'],
            )
        )
    result = estimate(fleet, load_coefficients())
    if as_json:
        show_json(result)
        return
    show_table([_row(cost) for cost in result.roles], COLUMNS)
    print()
    show_fields(_summary(result))


def _is_amount(given: object) -> bool:
    if isinstance(given, bool) or not isinstance(given, int | float):
        return False
    return 0 <= given < float('inf')


def _row(cost: Any) -> dict[str, Any]:
    row: dict[str, Any] = msgspec.structs.asdict(cost)
    row['kb_per_s'] = cost.bytes_per_s / 1000
    row['memory_mib'] = cost.memory_bytes / MIB
    return row


def _summary(found: Estimate) -> dict[str, Any]:
    return {
        'cores': found.cores,
        'cores_per_node': found.cores_per_node,
        'memory_mib_per_node': found.memory_bytes_per_node / MIB,
        'control_core_percent_per_node': (
            found.control_cores_per_node * PERCENT
        ),
        'control_kb_per_s_per_node': found.control_bytes_per_s_per_node / 1000,
        'sync_kb_per_s_per_worker': found.sync_bytes_per_s_per_worker / 1000,
        'nodes_needed': found.nodes_needed,
    }
