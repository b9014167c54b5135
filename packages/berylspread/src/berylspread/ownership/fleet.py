"""The entry nodes that may own units or be members of an electorate."""

from collections.abc import Iterable
from typing import Protocol, final

from berylspread.kernel.clock import now
from berylspread.membership import Liveness, Member
from berylspread.model import NodeRef
from berylspread.ownership.policy import rendezvous_order
from berylspread.ownership.rules import FOREVER, Terms

_USABLE = frozenset((Liveness.alive, Liveness.suspect))


class MembershipView(Protocol):
    """The part of membership that ownership uses."""

    def members(self, region: str = '') -> list[Member]:
        """Return the known entry nodes, of one region or of all."""

    def member(self, node: str) -> Member | None:
        """Return one entry node, or ``None`` if it is not known."""

    def departed_at(self, ref: NodeRef) -> float | None:
        """Return the loop time from which on a process has certainly ended."""

    def send_heartbeat_now(self, node: str) -> None:
        """Send the next heartbeat to a peer at once."""


@final
class Fleet:
    """The liveness of nodes, as needed by ownership.

    ``unusable_since`` and ``suspended_since`` keep loop times.
    """

    __slots__ = ('membership', 'suspended_since', 'unusable_since')

    def __init__(self, membership: MembershipView) -> None:
        self.membership = membership
        self.unusable_since: dict[NodeRef, float] = {}
        self.suspended_since: dict[NodeRef, float] = {}

    def record_suspended(self, source: NodeRef, *, suspended: bool) -> None:
        """Record whether an owner reports that it lacks authority."""
        if suspended:
            self.suspended_since.setdefault(source, now())
        else:
            self.suspended_since.pop(source, None)

    def is_usable(self, ref: NodeRef) -> bool:
        """Return whether a process is alive or only suspect."""
        member = self.membership.member(ref.node)
        if member is None or member.ref != ref:
            return False
        return member.liveness in _USABLE

    def is_present(self, ref: NodeRef) -> bool:
        """Return whether a process is not dead; it may be leaving."""
        member = self.membership.member(ref.node)
        return (
            member is not None
            and member.ref == ref
            and member.liveness is not Liveness.dead
        )

    def is_suspended(self, ref: NodeRef, longer_than_s: float) -> bool:
        """Return whether an owner has lacked authority for too long."""
        since = self.suspended_since.get(ref)
        return since is not None and now() - since > longer_than_s

    def ready_nodes(self, region: str) -> list[NodeRef]:
        """Return the processes of a region that are alive and ready."""
        return sorted(
            member.ref
            for member in self.membership.members(region)
            if member.ref is not None
            and member.ready
            and member.liveness is Liveness.alive
        )

    def unusable_for_s(self, ref: NodeRef) -> float:
        """Return for how many seconds a process has not been usable."""
        if self.is_usable(ref):
            self.unusable_since.pop(ref, None)
            return 0.0
        return now() - self.unusable_since.setdefault(ref, now())

    def departed_promises_end_at(self, ref: NodeRef, terms: Terms) -> float:
        """Return when the last promise that an ended process gave is over."""
        departed_at = self.membership.departed_at(ref)
        if departed_at is None:
            return FOREVER
        return departed_at + terms.promise_s * (1 + terms.drift)

    def responsible_region(self, region: str, regions: Iterable[str]) -> str:
        """Return the region whose nodes own the units of ``region``.

        For a region without entry nodes this is the next one that has any, in
        the circular order of the regions' names.
        """
        ordered = sorted({region, *regions})
        start = ordered.index(region)
        for candidate in ordered[start:] + ordered[:start]:
            if self._has_nodes(candidate):
                return candidate
        return region

    def _has_nodes(self, region: str) -> bool:
        return any(
            member.ref is None
            or self.membership.departed_at(member.ref) is None
            for member in self.membership.members(region)
        )


def pick_members(
    region: str,
    current: Iterable[NodeRef],
    candidates: Iterable[NodeRef],
    limit: int,
) -> tuple[NodeRef, ...]:
    """Return an electorate of ``current`` and added candidates.

    Candidates are added in rendezvous order, up to ``limit`` members.
    """
    staying = list(current)
    others = {ref.node: ref for ref in candidates if ref not in staying}
    ranked = rendezvous_order(region, list(others))
    added = [others[node] for node in ranked[: max(limit - len(staying), 0)]]
    return tuple(sorted([*staying, *added]))
