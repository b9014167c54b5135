"""The size and load of a fleet, as input of the estimate."""

from typing import Final, final

import msgspec

DAY_S: Final = 86_400.0


@final
class Fleet(msgspec.Struct, frozen=True):
    """The size of a fleet and its peak load.

    ``tasks`` are those that run at the same time; ``queued_jobs`` are jobs
    that have not ended; ``nodes`` are entry VMs, spread about evenly over
    ``regions``.
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
        """Jobs per second, averaged over the day."""
        return self.jobs_per_day / DAY_S

    @property
    def config_changes_per_s(self) -> float:
        """Configuration changes per second, averaged over the day."""
        return self.config_changes_per_day / DAY_S

    @property
    def node_pairs(self) -> int:
        """Number of ordered pairs of entry VMs."""
        return self.nodes * (self.nodes - 1)
