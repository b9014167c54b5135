"""The owner's side of promises: which it holds, and until when."""

import collections
from typing import Final, final

from berylspread.model import NodeRef
from berylspread.ownership.messages import KnownElectorate, PromiseReply
from berylspread.ownership.rules import (
    NEVER,
    Terms,
    authority_until,
    granted_until,
)

VERSIONS_KEPT: Final = 2


@final
class Authority:
    """The promises granted to this node, and how long they let it act.

    ``promise_ends`` keeps the end of each promise by region, electorate
    version and member.  A majority under any one version suffices, because a
    claimant waits until the promises under all earlier versions have ended.
    """

    __slots__ = ('electorates', 'promise_ends', 'terms')

    def __init__(self, terms: Terms) -> None:
        self.terms = terms
        self.electorates: collections.defaultdict[
            str, dict[int, tuple[NodeRef, ...]]
        ] = collections.defaultdict(dict)
        self.promise_ends: dict[tuple[str, int], dict[NodeRef, float]] = {}

    def add_electorate(self, electorate: KnownElectorate) -> bool:
        """Add an electorate; return whether it is newer than the known ones."""
        versions = self.electorates[electorate.region]
        is_newer = electorate.version > max(versions, default=0)
        versions.setdefault(electorate.version, electorate.members)
        for old in sorted(versions)[:-VERSIONS_KEPT]:
            del versions[old]
            self.promise_ends.pop((electorate.region, old), None)
        return is_newer

    def newest_version(self, region: str) -> int:
        """Return the newest known version of a region's electorate, or 0."""
        return max(self.electorates[region], default=0)

    def newest_members(self, region: str) -> tuple[NodeRef, ...]:
        """Return the members of a region's newest known electorate."""
        versions = self.electorates[region]
        return versions[max(versions)] if versions else ()

    def regions_with_member(self, node: str) -> list[str]:
        """Return the regions whose newest electorate contains a node."""
        return [
            region
            for region in self.electorates
            if any(ref.node == node for ref in self.newest_members(region))
        ]

    def record_promises(
        self,
        source: NodeRef,
        sent_at: float,
        reply: PromiseReply,
    ) -> None:
        """Record the promises in the reply to a request sent at ``sent_at``."""
        until = granted_until(sent_at, self.terms)
        for key in reply.granted.items():
            ends = self.promise_ends.setdefault(key, {})
            ends[source] = max(ends.get(source, NEVER), until)

    def valid_until(self, region: str) -> float:
        """Return until when this node may act on its units in a region."""
        return max(
            (
                self._valid_until_under(region, version, members)
                for version, members in self.electorates[region].items()
            ),
            default=NEVER,
        )

    def _valid_until_under(
        self, region: str, version: int, members: tuple[NodeRef, ...]
    ) -> float:
        ends = self.promise_ends.get((region, version), {})
        return authority_until(
            [ends[member] for member in members if member in ends],
            len(members),
        )
