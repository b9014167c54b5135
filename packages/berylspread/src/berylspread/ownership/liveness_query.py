"""Second opinions: whether another member hears a silent node."""

import asyncio
from collections.abc import Callable, Iterable
from typing import final

from berylspread.model import NodeRef
from berylspread.ownership.messages import SightingAsk, SightingReply
from berylspread.peers import Peers


@final
class LivenessQuery:
    """Asks other nodes about silent ones, and answers for this node.

    A link that is cut only here is no reason to take units away from a node or
    to drop it from the electorate.
    """

    __slots__ = ('is_live', 'peers', 'ref', 'timeout_s')

    def __init__(
        self,
        ref: NodeRef,
        peers: Peers,
        is_live: Callable[[NodeRef], bool],
        timeout_s: float,
    ) -> None:
        """Serve the asks of others from now on."""
        self.ref = ref
        self.peers = peers
        self.is_live = is_live
        self.timeout_s = timeout_s
        peers.register_handler(SightingAsk, self._handle_request)

    async def live_according_to(
        self, nodes: Iterable[str], silent: Iterable[NodeRef]
    ) -> set[NodeRef]:
        """Return the silent nodes that any of the other nodes hears."""
        ask = SightingAsk(tuple(sorted(silent)))
        if not ask.owners:
            return set()
        replies = await asyncio.gather(
            *(
                self.peers.request(
                    node, ask, SightingReply, timeout_s=self.timeout_s
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
