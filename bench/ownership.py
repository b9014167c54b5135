"""Measure takeover, handover and the cost of heartbeats in virtual time.

``python -m bench.ownership`` prints the figures as JSON.
"""

import asyncio
import collections
import json
import statistics
import sys
import time
from typing import Any, Final, cast

from bench.ownership_cluster import Cluster
from bench.registry import benchmark
from berylspread.kernel.clock import now
from berylspread_standins.network import Endpoint, Network
from berylspread_standins.virtual_time import run_virtual

SEEDS: Final = 10
SAMPLE_S: Final = 0.005
MEASURED_S: Final = 300.0
MAX_TAKEOVER_S: Final = 6.3
MAX_GAP_S: Final = 0.3
MAX_BYTES_S: Final = 8000
#: TCP, IP, HTTP/2 and gRPC headers of a frame and its acknowledgement.
FRAME_HEADER_BYTES: Final = 110


class CountingNetwork:
    """Counts messages and bytes by sender; forwards to the network."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.messages: collections.Counter[str] = collections.Counter()
        self.bytes: collections.Counter[str] = collections.Counter()

    def arrivals(
        self, source: Endpoint, target: Endpoint, size: int, purpose: str
    ) -> list[float]:
        if not purpose.startswith('log-'):
            self.messages[source.name] += 1
            self.bytes[source.name] += size + FRAME_HEADER_BYTES
        return self.network.arrivals(source, target, size, purpose)


async def started(cluster: Cluster) -> float:
    await cluster.start()
    cold_s = await cluster.until(cluster.all_held)
    await asyncio.sleep(10 + cluster.rng.random())
    return cold_s


async def takeover_s(seed: int) -> tuple[float, float]:
    """Return the seconds of a cold start and of an unplanned takeover."""
    cluster = Cluster(near=9, racks=9, shards=9, seed=seed)
    cold_s = await started(cluster)
    victim = cluster.nodes[f'n{seed % 9}']
    victim.kill()
    lost_s = await cluster.until(cluster.all_held)
    assert not cluster.doubles
    cluster.stop()
    return cold_s, lost_s


async def handover_s(seed: int) -> tuple[float, float]:
    """Return how long a planned stop takes, and the longest gap of a unit."""
    cluster = Cluster(near=9, racks=9, shards=9, seed=seed)
    await started(cluster)
    missing: collections.Counter[str] = collections.Counter()

    async def sample() -> None:
        while True:
            held = cluster.held()
            for unit in cluster.units():
                if unit not in held:
                    missing[unit] += 1
            await asyncio.sleep(SAMPLE_S)

    sampling = asyncio.create_task(sample())
    began = now()
    await cluster.nodes[f'n{seed % 9}'].stop()
    stop_s = now() - began
    sampling.cancel()
    assert cluster.all_held()
    assert not cluster.doubles
    cluster.stop()
    return stop_s, max(missing.values(), default=0) * SAMPLE_S


async def cost(near: int, far: int, units: int) -> dict[str, Any]:
    """Return messages and bytes of one node a second, at rest."""
    cluster = Cluster(near=near, far=far, racks=units, shards=units)
    cluster.observe_s = MEASURED_S
    counting = CountingNetwork(cluster.network)
    cluster.peers.network = cast('Network', counting)
    await started(cluster)
    before = counting.messages.copy(), counting.bytes.copy()
    link_before = cluster.network.sent_bytes()
    began = time.process_time()
    await asyncio.sleep(MEASURED_S)
    processor_s = time.process_time() - began
    messages = counting.messages - before[0]
    sent = counting.bytes - before[1]
    link = cluster.network.sent_bytes() - link_before
    beats = link['Heartbeat'] + link['HeartbeatReply']
    nodes = len(cluster.nodes)
    cluster.stop()
    return {
        'nodes': nodes,
        'units': len(cluster.units()),
        'messages_per_node_s': max(messages.values()) / MEASURED_S,
        'sent_bytes_per_node_s': max(sent.values()) / MEASURED_S,
        'link_heartbeat_bytes_s': beats / MEASURED_S,
        'core_percent_per_node': 100 * processor_s / MEASURED_S / nodes,
    }


def spread(times: list[float]) -> dict[str, float]:
    return {
        'median_s': round(statistics.median(times), 3),
        'max_s': round(max(times), 3),
    }


def measure() -> dict[str, Any]:
    takeovers = [run_virtual(takeover_s(seed)) for seed in range(SEEDS)]
    handovers = [run_virtual(handover_s(seed)) for seed in range(SEEDS)]
    return {
        'cold_start': spread([cold for cold, _lost in takeovers]),
        'unplanned_takeover': spread([lost for _cold, lost in takeovers]),
        'planned_stop': spread([stop for stop, _gap in handovers]),
        'planned_gap': spread([gap for _stop, gap in handovers]),
        'at_rest': [
            run_virtual(cost(3, 0, 3)),
            run_virtual(cost(6, 3, 3)),
            run_virtual(cost(9, 0, 3)),
            run_virtual(cost(6, 3, 72)),
        ],
    }


@benchmark('ownership')
def run() -> bool:
    """Measure, and hold the results against their bounds."""
    found = measure()
    print(json.dumps(found, indent=2))
    busiest = max(one['sent_bytes_per_node_s'] for one in found['at_rest'])
    bounds = (
        (found['unplanned_takeover']['max_s'], MAX_TAKEOVER_S),
        (found['planned_gap']['max_s'], MAX_GAP_S),
        (busiest, MAX_BYTES_S),
    )
    return all(measured <= bound for measured, bound in bounds)


if __name__ == '__main__':
    sys.exit(not run())
