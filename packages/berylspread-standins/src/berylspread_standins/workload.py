"""What a stand-in worker does with a task or call: JSON in its payload."""

from typing import Final, final

import msgspec

from berylspread.model import Resources

DEFAULT_RUN_S: Final = 1.0


@final
class Workload(msgspec.Struct, frozen=True, omit_defaults=True):
    """How long work really runs, how it ends, and what it really uses.

    ``run_s`` of ``None`` runs until it is stopped; ``used`` of ``None`` uses
    what was declared.  ``answer_bytes`` pads the answer of a call.
    """

    run_s: float | None = DEFAULT_RUN_S
    exit_code: int = 0
    used: Resources | None = None
    checkpointable: bool = False
    idempotent: bool = True
    output: str = ''
    answer_bytes: int = 0


_decoder: Final = msgspec.json.Decoder(Workload)


def parse_workload(payload: str | bytes) -> Workload:
    """Return the workload in a payload; other payloads run for the default."""
    try:
        return _decoder.decode(payload)
    except msgspec.DecodeError:
        return Workload()


def dump_workload(workload: Workload) -> str:
    """Return a payload that holds the workload."""
    return msgspec.json.encode(workload).decode()


def distort(
    workload: Workload,
    declared: Resources,
    *,
    run_factor: float,
    use_factor: float,
) -> Workload:
    """Return the workload with other run time and use than it states."""
    if run_factor == 1 and use_factor == 1:
        return workload
    run_s = workload.run_s
    if run_s is not None:
        run_s *= run_factor
    used = workload.used or declared
    return msgspec.structs.replace(
        workload,
        run_s=run_s,
        used=Resources(
            int(used.cpu_milli * use_factor),
            int(used.memory_mib * use_factor),
            used.accelerators,
            used.slots,
        ),
    )
