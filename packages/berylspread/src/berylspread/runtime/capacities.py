"""The capacity of each partition, as its owner last reported it."""

from typing import final

from berylspread.kernel import now
from berylspread.model import ZERO, Resources, unit_region
from berylspread.partition.messages import CapacityReport


@final
class ReceivedReport:
    """A partition's last report, its sender and the loop time of receipt."""

    __slots__ = ('node', 'received_at', 'report')

    def __init__(self, node: str, report: CapacityReport) -> None:
        self.node = node
        self.report = report
        self.received_at = now()


@final
class CapacityCache:
    """The newest report of each partition, by unit."""

    __slots__ = ('reports',)

    def __init__(self) -> None:
        self.reports: dict[str, ReceivedReport] = {}

    def update(self, node: str, report: CapacityReport) -> None:
        """Keep a report unless a report of a newer epoch is known."""
        unit = report.partition.unit
        latest = self.reports.get(unit)
        epoch = latest.report.partition.epoch if latest else 0
        if report.partition.epoch >= epoch:
            self.reports[unit] = ReceivedReport(node, report)

    def region_capacity(self, region: str) -> Resources:
        """Return the total capacity of the workers of a region."""
        total = ZERO
        for unit, received in self.reports.items():
            if unit_region(unit) == region:
                total += received.report.total
        return total

    def reports_of(self, region: str = '') -> list[ReceivedReport]:
        """Return the newest report of each partition in a region or in all."""
        return [
            received
            for unit, received in self.reports.items()
            if not region or unit_region(unit) == region
        ]
