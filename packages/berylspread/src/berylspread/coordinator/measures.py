"""Counters and latency histograms of a process, in the Prometheus text format.

They are kept as plain numbers.  The library that writes the format is imported
at the first scrape, as the import takes a tenth of a second on a small VM.
"""

import bisect
import collections
from collections.abc import Mapping
from typing import Any, Final, final

#: Upper bounds of the buckets in seconds: a response of the store in the same
#: region takes 0.004, a permission request up to 1, a batch task 15.
BUCKETS_S: Final = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)
METRIC_PREFIX: Final = 'berylspread_'


@final
class Histogram:
    """Counts of durations by bucket, with their sum."""

    __slots__ = ('counts', 'total_s')

    def __init__(self) -> None:
        self.counts = [0 for _ in (*BUCKETS_S, None)]
        self.total_s = 0.0

    def observe(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        self.total_s += seconds

    def buckets(self) -> list[tuple[str, float]]:
        """Return each upper bound with the count of durations up to it."""
        rows: list[tuple[str, float]] = []
        count = 0
        for bound, add in zip((*BUCKETS_S, None), self.counts, strict=True):
            count += add
            rows.append(('+Inf' if bound is None else str(bound), count))
        return rows


@final
class ProcessMetrics:
    """The counters and histograms of one process."""

    __slots__ = (
        'core_seconds',
        'events',
        'histograms',
        'refusals',
        'slowness',
        'statuses',
        'turned_away',
        'zone_runs',
    )

    def __init__(self) -> None:
        #: Log events by name, including those that were dropped.
        self.events: collections.Counter[str] = collections.Counter()
        #: Responses to callers by status.
        self.statuses: collections.Counter[str] = collections.Counter()
        #: Callers' connections that were ended for their cost, by reason.
        self.turned_away: collections.Counter[str] = collections.Counter()
        #: Jobs refused because they would end too late, by what they lack.
        self.refusals: collections.Counter[str] = collections.Counter()
        #: Core-seconds of runs that have ended, by the use of their job.
        self.core_seconds: collections.Counter[str] = collections.Counter()
        self.histograms: dict[str, Histogram] = {}
        #: The runs in each closed zone, on the node that coordinates.
        self.zone_runs: dict[str, int] = {}
        #: The time that a task takes by kind of worker, relative to a typical
        #: worker.
        self.slowness: dict[str, float] = {}

    def observe(self, name: str, seconds: float) -> None:
        """Count one duration in the histogram of a name."""
        found = self.histograms.get(name)
        if found is None:
            found = Histogram()
            self.histograms[name] = found
        found.observe(seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import (  # noqa: PLC0415
            CollectorRegistry,
            core,
            generate_latest,
        )

        counters: list[Any] = []
        for name, label, counts in (
            ('events', 'event', self.events),
            ('answers', 'status', self.statuses),
            ('turned_away', 'reason', self.turned_away),
            ('refusals', 'reason', self.refusals),
            ('core_seconds', 'use', self.core_seconds),
        ):
            family = core.CounterMetricFamily(
                METRIC_PREFIX + name, f'Count of {name}.', labels=[label]
            )
            for key, count in counts.items():
                family.add_metric([key], count)
            counters.append(family)
        durations = core.HistogramMetricFamily(
            f'{METRIC_PREFIX}duration_seconds', 'Durations.', labels=['of']
        )
        for name, histogram in self.histograms.items():
            durations.add_metric([name], histogram.buckets(), histogram.total_s)
        registry = CollectorRegistry()
        gauges = (
            _gauge(
                core,
                'closed_zone_runs',
                'Runs that are left in each closed zone.',
                'zone',
                self.zone_runs,
            ),
            _gauge(
                core,
                'worker_slowness',
                'Time of a task by kind of worker.',
                'kind',
                self.slowness,
            ),
        )
        registry.register(_StaticCollector([*counters, durations, *gauges]))
        return generate_latest(registry)


def _gauge(
    core: Any, name: str, text: str, label: str, values: Mapping[str, float]
) -> Any:
    """Return a gauge with a value for each label."""
    family = core.GaugeMetricFamily(
        f'{METRIC_PREFIX}{name}', text, labels=[label]
    )
    for key, value in values.items():
        family.add_metric([key], value)
    return family


class _StaticCollector:
    """A Prometheus collector that returns the given metric families."""

    def __init__(self, families: list[Any]) -> None:
        self.families = families

    def collect(self) -> list[Any]:
        return self.families
