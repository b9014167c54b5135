"""What job homes tell partition owners, and what placement answers."""

from typing import final

import msgspec

from berylspread.model import (
    DEFAULT_PRIORITY,
    URGENT_PRIORITY,
    Constraints,
    JobKind,
    Resources,
)


@final
class GangInfo(msgspec.Struct, frozen=True):
    """A gang: all of its tasks start, or none."""

    gang_id: str
    tasks: int


@final
class DemandClass(msgspec.Struct, frozen=True):
    """Pending tasks of one home that are alike for placement.

    ``oldest_age_s`` is how long the oldest task has waited as the message was
    sent; ``deadline_slack_s`` is the time left until its deadline.
    """

    class_id: str
    home: str
    home_epoch: int
    team: str
    queue: str
    job_class: str
    kind: JobKind
    shape: Resources
    count: int
    priority: int = DEFAULT_PRIORITY
    oldest_age_s: float = 0.0
    deadline_slack_s: float | None = None
    expected_run_s: float = 0.0
    constraints: Constraints = Constraints()
    preemptible: bool = True
    gang: GangInfo | None = None

    @property
    def is_urgent(self) -> bool:
        """Return whether the work goes before all that is not urgent."""
        return self.priority >= URGENT_PRIORITY


@final
class TeamUsage(msgspec.Struct, frozen=True):
    """What one team is entitled to and uses in a region, as its home knows.

    Every amount is a dominant share: a fraction of the region's total of the
    team's largest dimension.  ``decayed`` is the average of past use, in which
    older use counts less.
    """

    team: str
    entitled: float
    decayed: float = 0.0
    current: float = 0.0


@final
class Decision(msgspec.Struct, frozen=True):
    """Start one task of a class at a worker; nothing is booked yet."""

    class_id: str
    home: str
    home_epoch: int
    worker: str
    unit: str
    shape: Resources
    score: float
    examined: int


@final
class Rejection(msgspec.Struct, frozen=True):
    """No examined worker takes a class now; the count of workers per filter."""

    class_id: str
    reasons: dict[str, int]
    examined: int
