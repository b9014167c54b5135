"""The registered policies for too little room.

Load pattern: for some seconds, more work than the room, an organisation's quota
or the permission service can take.  One policy answers what is placed first,
what gives way, what is put off and what is refused, so that these never
contradict each other.
"""

from collections.abc import Callable
from typing import Final, Protocol

from berylspread.coordinator.contention.standing import Standing

#: The sort key of a step; the smallest comes first.
Rank = tuple[float, ...]


class ContentionPolicy(Protocol):
    """Compares steps by the standing of their jobs."""

    #: Whether jobs that cannot be of use any more are refused.
    refuses: bool
    #: Whether an occurrence has its objective from its due time on, otherwise
    #: from the acceptance of its job.
    counts_from_due: bool
    #: Whether the job that is overdue the longest goes before all others.
    promotes_overdue: bool

    def rank(self, standing: Standing) -> Rank:
        """Return the place of a step in the order of placement."""

    def group(self, standing: Standing) -> Rank:
        """Return the leading part of the rank that decides who gives way.

        A run is stopped only for a step of an earlier group.
        """

    def victim_rank(self, standing: Standing) -> Rank:
        """Return the place of a run in the order of stopping."""


POLICIES: Final[dict[str, ContentionPolicy]] = {}
DEFAULT_POLICY: Final = 'urgency'

PolicyT = Callable[[], ContentionPolicy]


def contention_policy(name: str) -> Callable[[PolicyT], PolicyT]:
    """Register a policy under a name; a class decorator."""

    def register(create: PolicyT) -> PolicyT:
        POLICIES[name] = create()
        return create

    return register


def find_policy(name: str) -> ContentionPolicy:
    """Return a policy by name.

    Raises:
        KeyError: No policy has this name.

    """
    return POLICIES[name]
