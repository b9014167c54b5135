"""The demand that job homes send to partition owners, and decisions on it."""

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
    """A gang, of whose tasks either all or none start."""

    gang_id: str
    tasks: int


@final
class DemandClass(msgspec.Struct, frozen=True):
    """Pending tasks of one home that placement treats alike.

    ``oldest_age_s`` is how long the oldest task had waited when the message was
    sent, ``deadline_slack_s`` the time that was left until the deadline, or
    ``None`` without a deadline.  An ``expected_run_s`` of 0 is unknown.
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
        """Return whether the class is placed before all that are not urgent."""
        return self.priority >= URGENT_PRIORITY


@final
class TeamUsage(msgspec.Struct, frozen=True):
    """The entitlement and usage of a team in a region, as its home reports it.

    Every amount is a dominant share: the fraction that the team has of the
    region's capacity in the dimension in which that fraction is largest.
    ``decayed`` is the average of past usage, in which older usage counts less.
    """

    team: str
    entitled: float
    decayed: float = 0.0
    current: float = 0.0


@final
class Decision(msgspec.Struct, frozen=True):
    """The choice of a worker for one task of a class; nothing is booked yet.

    ``examined`` is the number of candidates that were examined.
    """

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
    """The result for a class that no examined worker can take now.

    ``reasons`` counts the rejected workers by filter.
    """

    class_id: str
    reasons: dict[str, int]
    examined: int
