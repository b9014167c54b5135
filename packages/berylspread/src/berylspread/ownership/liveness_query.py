"""Asks other nodes whether a silent node is live."""

import asyncio
from collections.abc import Callable, Iterable
from typing import final

from berylspread.model import NodeRef
from berylspread.ownership.messages import SightingAsk, SightingReply
from berylspread.peers import Peers


@final
class LivenessQuery:
    """Asks other nodes whether silent owners are live, and replies to them.

    If only the link between this node and the owner has failed, the owner
    keeps its units and its place in the electorate.
    """

    __slots__ = ('is_live', 'peers', 'ref', 'timeout_s')

    def __init__(
        self,
        ref: NodeRef,
        peers: Peers,
        is_live: Callable[[NodeRef], bool],
        timeout_s: float,
    ) -> None:
        """Serve the requests of other nodes from now on."""
        self.ref = ref
        self.peers = peers
        self.is_live = is_live
        self.timeout_s = timeout_s
        peers.register_handler(SightingAsk, self._handle_request)

    async def live_according_to(
        self, nodes: Iterable[str], silent: Iterable[NodeRef]
    ) -> set[NodeRef]:
        """Return the silent processes that are live according to any node."""
        request = SightingAsk(tuple(sorted(silent)))
        if not request.owners:
            return set()
        replies = await asyncio.gather(
            *(
                self.peers.request(
                    node, request, SightingReply, timeout_s=self.timeout_s
                )
                for node in nodes
                if node != self.ref.node
            )
        )
        return {
            ref
            for reply in replies
            if isinstance(reply, SightingReply)
            for ref in reply.live
        }

    async def _handle_request(
        self, _source: NodeRef, body: SightingAsk
    ) -> SightingReply:
        return SightingReply(
            tuple(ref for ref in body.owners if self.is_live(ref))
        )
