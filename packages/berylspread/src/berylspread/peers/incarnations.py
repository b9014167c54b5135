"""Which process of a node is the present one.

Load pattern: a VM loses power, and its clock is behind when its processes start
again.  An incarnation is a time of day, so the new process has a lower number
than the one that has ended.  Messages of the ended one may still arrive.
"""

from typing import Final, final

from berylspread.kernel.clock import now
from berylspread.model import NodeRef

#: Former processes of a node that are remembered; more than one only matter if
#: the clock of a VM is set back several times.
MAX_REPLACED: Final = 16


@final
class PeerProcesses:
    """The present process of a node and the former ones."""

    __slots__ = ('heard_at', 'incarnation', 'replaced')

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.replaced: list[int] = []
        #: When the present process was last heard, in loop time.
        self.heard_at = now()

    def is_newer(self, incarnation: int) -> bool:
        """Return whether a process has certainly started after the present."""
        return (
            incarnation > self.incarnation and incarnation not in self.replaced
        )

    def replace(self, incarnation: int) -> None:
        """Record another process as the present one."""
        self.replaced = [*self.replaced, self.incarnation][-MAX_REPLACED:]
        self.incarnation = incarnation


@final
class IncarnationTracker:
    """Tracks the present process of each node.

    A process with a higher number replaces the present one at once.  Any other
    replaces it only once the present one has been silent for ``silence_s``
    seconds, so that a late message of an ended process does not take the place
    of one that lives.  Without ``silence_s`` numbers only rise.
    """

    __slots__ = ('processes', 'silence_s')

    def __init__(self, silence_s: float | None = None) -> None:
        self.silence_s = silence_s
        self.processes: dict[str, PeerProcesses] = {}

    def accept(self, source: NodeRef) -> bool:
        """Return whether a message is of the present process of its node."""
        known = self.processes.setdefault(
            source.node, PeerProcesses(source.incarnation)
        )
        if source.incarnation != known.incarnation:
            is_successor = known.is_newer(source.incarnation)
            if not is_successor and not self._is_silent(known):
                return False
            known.replace(source.incarnation)
        known.heard_at = now()
        return True

    def _is_silent(self, known: PeerProcesses) -> bool:
        return (
            self.silence_s is not None
            and now() - known.heard_at >= self.silence_s
        )
