"""Counts and latency histograms of a process, in the text format of Prometheus.

They are kept in plain numbers; the library that writes the format is imported
when they are first asked for, as it takes a tenth of a second of a small VM.
"""

import bisect
import collections
from typing import Any, Final, final

#: Upper bounds of the buckets in seconds: an answer of the store in the same
#: region takes 0.004, a request for permissions up to 1, a batch task 15.
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
    """Counts by bucket, with the sum of what was observed."""

    __slots__ = ('counts', 'total_s')

    def __init__(self) -> None:
        """Start empty."""
        self.counts = [0 for _ in (*BUCKETS_S, None)]
        self.total_s = 0.0

    def observe(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        self.total_s += seconds

    def buckets(self) -> list[tuple[str, float]]:
        """Return each upper bound with the count up to it."""
        rows: list[tuple[str, float]] = []
        count = 0
        for bound, add in zip((*BUCKETS_S, None), self.counts, strict=True):
            count += add
            rows.append(('+Inf' if bound is None else str(bound), count))
        return rows


@final
class ProcessMetrics:
    """What one process has counted and timed."""

    __slots__ = ('events', 'histograms', 'statuses')

    def __init__(self) -> None:
        """Start at zero."""
        #: Logged events by name, those that were not written included.
        self.events: collections.Counter[str] = collections.Counter()
        #: Answers to callers by status.
        self.statuses: collections.Counter[str] = collections.Counter()
        self.histograms: dict[str, Histogram] = {}

    def observe(self, name: str, seconds: float) -> None:
        """Count one duration under a name."""
        found = self.histograms.get(name)
        if found is None:
            found = Histogram()
            self.histograms[name] = found
        found.observe(seconds)

    def render(self) -> bytes:
        """Return everything as text for a scrape."""
        from prometheus_client import (  # noqa: PLC0415
            CollectorRegistry,
            core,
            generate_latest,
        )

        counters: list[Any] = []
        for name, label, counts in (
            ('events', 'event', self.events),
            ('answers', 'status', self.statuses),
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
        registry.register(_StaticCollector([*counters, durations]))
        return generate_latest(registry)


class _StaticCollector:
    """A collector of families that are already made."""

    def __init__(self, families: list[Any]) -> None:
        self.families = families

    def collect(self) -> list[Any]:
        return self.families
