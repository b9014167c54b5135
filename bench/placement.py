"""Placement: our policies beside the baselines, at 24 and 2,300 workers."""

import multiprocessing
import sys
from typing import Final, final

from bench.registry import benchmark
from bench.replay.demand import KINDS, SERVICE, URGENT, Scenario, build
from bench.replay.engine import Replay
from bench.replay.policies import HANBIT, OFFLINE, SURYADI, policies
from bench.replay.results import Results, quantile

PROCESSES: Final = 3
URGENT_BOUND_S: Final = 6.3
PEAK_STARTS_S: Final = 1600
NODES: Final = 3
COST_SLOPE: Final = 1.5
PACKING_MARGIN: Final = 0.05


@final
class Size:
    """One size of the fleet with its demand."""

    __slots__ = ('arguments', 'workers')

    def __init__(
        self,
        workers: int,
        owners: int,
        teams: int,
        *,
        seconds: float,
        load: float,
    ) -> None:
        """Keep the arguments of the scenario."""
        self.workers = workers
        self.arguments = (workers, owners, teams, seconds, load)

    def scenario(self) -> Scenario:
        """Build the scenario, which is the same each time."""
        return build(*self.arguments)


#: The large fleet starts empty and fills within its shorter time.
SIZES: Final = (
    Size(24, 3, 6, seconds=400, load=0.8),
    Size(2304, 9, 340, seconds=50, load=1.1),
)


def _replay(job: tuple[int, int]) -> tuple[int, int, Results]:
    size, policy = job
    replay = Replay(SIZES[size].scenario(), policies()[policy])
    return size, policy, replay.run()


@benchmark('placement')
def placement() -> bool:
    """Replay every policy at every size, print tables, check bounds."""
    count = len(policies())
    jobs = [(1, p) for p in range(count)] + [(0, p) for p in range(count)]
    context = multiprocessing.get_context('spawn')
    with context.Pool(PROCESSES) as pool:
        found = pool.map(_replay, jobs, chunksize=1)
    tables = []
    for size, fleet in enumerate(SIZES):
        rows = [results for at, _, results in found if at == size]
        print(f'\n{fleet.workers} workers')
        _print_waits(rows)
        _print_measures(rows)
        _print_costs(rows)
        tables.append({results.name: results for results in rows})
    return _check(tables)


def _print_waits(rows: list[Results]) -> None:
    kinds = [kind for kind in KINDS if kind != SERVICE]
    heads = ''.join(f'{kind:>12} p50/p99' for kind in kinds)
    print(f'{"waiting, s":22}{"mean":>8}{heads}{"pending":>9}')
    for row in rows:
        cells = ''.join(
            f'{quantile(row.waits[kind], 0.5):>11.2f}'
            f'{quantile(row.waits[kind], 0.99):>9.2f}'
            for kind in kinds
        )
        waits = row.all_waits
        mean = sum(waits) / max(len(waits), 1)
        print(f'{row.name:22}{mean:>8.2f}{cells}{row.counts["pending"]:>9}')


def _print_measures(rows: list[Results]) -> None:
    print(
        f'{"":22}{"packing":>9}{"error":>9}{"worst":>9}{"misplaced":>10}'
        f'{"starts":>9}{"failed":>8}{"outgrown":>9}{"preempted":>10}'
    )
    for row in rows:
        packing = _mean(row.packing)
        print(
            f'{row.name:22}{packing:>9.1%}{row.mean_error:>9.3%}'
            f'{row.worst_error:>9.2%}{_mean(row.misplaced):>10.1%}'
            f'{row.starts:>9}{row.counts["failed"]:>8}'
            f'{row.counts["outgrown"]:>9}{row.counts["preempted"]:>10}'
        )


def _print_costs(rows: list[Results]) -> None:
    print(
        f'{"":22}{"us/decision":>12}{"us/placing":>11}{"p99 ms":>8}'
        f'{"us/start":>9}{"examined":>9}{"msgs/start":>11}{"starts/s of 3":>14}'
        f'{"refused":>8}'
    )
    for row in rows:
        print(
            f'{row.name:22}{_mean(row.decision_s) * 1e6:>12.0f}'
            f'{_mean(row.placing_s) * 1e6:>11.0f}'
            f'{quantile(row.decision_s, 0.99) * 1e3:>8.2f}'
            f'{_cpu_per_start(row) * 1e6:>9.0f}{_examined(row):>9.1f}'
            f'{row.messages / max(row.starts, 1):>11.2f}'
            f'{NODES / _cpu_per_start(row):>14.0f}{row.counts["refused"]:>8}'
        )


def _mean(values: list[float]) -> float:
    return sum(values) / max(len(values), 1)


def _cpu_per_start(row: Results) -> float:
    return row.tick_cpu_s / max(row.tick_starts, 1)


def _examined(row: Results) -> float:
    return row.placing_examined / max(len(row.placing_s), 1)


def _check(tables: list[dict[str, Results]]) -> bool:
    bounds: list[tuple[str, bool]] = []
    for fleet, rows in zip(SIZES, tables, strict=True):
        bounds.extend(_bounds(f'{fleet.workers} workers', rows))
    small, large = (_mean(rows[SURYADI].placing_s) for rows in tables)
    bounds.append(
        (
            f'placing at most {COST_SLOPE}x of {small * 1e6:.0f} us',
            large <= small * COST_SLOPE,
        )
    )
    for name, holds in bounds:
        print(f'{"ok" if holds else "MISSED":7} {name}')
    return all(holds for _, holds in bounds)


def _bounds(size: str, rows: dict[str, Results]) -> list[tuple[str, bool]]:
    ours = rows[SURYADI], rows[HANBIT]
    baselines = [
        row
        for name, row in rows.items()
        if name not in {SURYADI, HANBIT, OFFLINE}
    ]
    waiting = _mean(rows[SURYADI].all_waits)
    nearness = rows[HANBIT].mean_error
    packing = max(_mean(row.packing) for row in baselines)
    return [
        (
            f'{size}: waiting on the document that weighs it',
            waiting < min(_mean(row.all_waits) for row in baselines),
        ),
        (
            f'{size}: nearness on the document that weighs it',
            nearness < min(row.mean_error for row in baselines),
        ),
        (
            f'{size}: packing within 5 % of the best baseline',
            all(_mean(row.packing) >= packing - PACKING_MARGIN for row in ours),
        ),
        (
            f'{size}: urgent p99 within {URGENT_BOUND_S} s',
            all(
                quantile(row.waits[URGENT], 0.99) <= URGENT_BOUND_S
                for row in ours
            ),
        ),
        (
            f'{size}: {PEAK_STARTS_S} starts/s by three owners',
            all(NODES / _cpu_per_start(row) >= PEAK_STARTS_S for row in ours),
        ),
    ]


if __name__ == '__main__':
    sys.exit(not placement())
