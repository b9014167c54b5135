"""The numbers of a fleet that the estimate starts from."""

from typing import Final, final

import msgspec

DAY_S: Final = 86_400.0


@final
class Fleet(msgspec.Struct, frozen=True):
    """A fleet and its load at the peak.

    ``tasks`` run at one time; ``queued_jobs`` have not ended; ``nodes`` are
    entry VMs, of which ``regions`` have about the same number each.
    """

    workers: int
    tasks: int
    jobs_per_day: float
    starts_per_s: float
    teams: int
    nodes: int = 9
    regions: int = 1
    config_changes_per_day: float = 0.0
    calls_per_s: float = 0.0
    keys: int = 0
    queued_jobs: int = 0

    @property
    def jobs_per_s(self) -> float:
        """Jobs a second, evenly over the day."""
        return self.jobs_per_day / DAY_S

    @property
    def config_changes_per_s(self) -> float:
        """Configuration changes a second, evenly over the day."""
        return self.config_changes_per_day / DAY_S

    @property
    def node_pairs(self) -> int:
        """Ordered pairs of entry VMs."""
        return self.nodes * (self.nodes - 1)
