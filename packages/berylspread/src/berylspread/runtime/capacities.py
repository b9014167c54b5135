"""What the partitions hold, as their owners reported it last."""

from typing import final

from berylspread.kernel import now
from berylspread.model import ZERO, Resources, unit_region
from berylspread.partition.messages import CapacityReport


@final
class ReceivedReport:
    """One partition's last report and the loop time of its receipt."""

    __slots__ = ('node', 'received_at', 'report')

    def __init__(self, node: str, report: CapacityReport) -> None:
        """Stamp the report with the present time."""
        self.node = node
        self.report = report
        self.received_at = now()


@final
class CapacityCache:
    """The newest report of each partition, by unit."""

    __slots__ = ('reports',)

    def __init__(self) -> None:
        """Start without reports."""
        self.reports: dict[str, ReceivedReport] = {}

    def update(self, node: str, report: CapacityReport) -> None:
        """Take in a report unless its epoch is outdated."""
        unit = report.partition.unit
        known = self.reports.get(unit)
        epoch = known.report.partition.epoch if known else 0
        if report.partition.epoch >= epoch:
            self.reports[unit] = ReceivedReport(node, report)

    def region_capacity(self, region: str) -> Resources:
        """Return what the workers of a region hold together."""
        total = ZERO
        for unit, known in self.reports.items():
            if unit_region(unit) == region:
                total += known.report.total
        return total

    def reports_of(self, region: str = '') -> list[ReceivedReport]:
        """Return the partitions of one region or of all."""
        return [
            known
            for unit, known in self.reports.items()
            if not region or unit_region(unit) == region
        ]
