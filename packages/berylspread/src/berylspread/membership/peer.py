"""The state that this node keeps of one other node."""

from typing import final

from berylspread.membership.failure_detector import FailureDetector
from berylspread.membership.interface import Liveness, Member
from berylspread.membership.messages import NodeStatus
from berylspread.membership.settings import MembershipSettings
from berylspread.model import NodeRef, Vm


@final
class Peer:
    """Another node: its last status, its incarnation and its liveness."""

    __slots__ = (
        'address',
        'failure_detector',
        'incarnation_since',
        'last_message_at',
        'node',
        'ref',
        'region',
        'replaced_at',
        'settings',
        'status',
        'zone',
    )

    def __init__(
        self,
        node: str,
        settings: MembershipSettings,
        interval_s: float,
        now: float,
    ) -> None:
        self.node = node
        self.settings = settings
        self.address = ''
        self.region = ''
        self.zone = ''
        self.ref: NodeRef | None = None
        self.status: NodeStatus | None = None
        self.failure_detector = FailureDetector(settings, interval_s, now)
        self.last_message_at = now
        self.incarnation_since = now
        self.replaced_at: dict[int, float] = {}

    def update_from_list(self, vm: Vm) -> None:
        """Take address, region and zone from the VM list unless heard from."""
        if self.status is None:
            self.address = vm.address
            self.region = vm.region
            self.zone = vm.zone

    def record_message(
        self, source: NodeRef, status: NodeStatus, now: float
    ) -> None:
        """Record the status in a message; ignore older incarnations."""
        if self.ref is not None and source.incarnation < self.ref.incarnation:
            return
        if self.ref is not None and source != self.ref:
            self.replaced_at[self.ref.incarnation] = now
            self.failure_detector = FailureDetector(
                self.settings, self.failure_detector.interval_s, now
            )
        if source != self.ref:
            self.incarnation_since = now
        self.ref = source
        self.status = status
        self.address = status.address
        self.region = status.region
        self.zone = status.zone
        self.last_message_at = now

    def ended_at(self, ref: NodeRef) -> float | None:
        """Return when a newer incarnation than ``ref`` was first heard from."""
        if self.ref is None or ref.incarnation >= self.ref.incarnation:
            return None
        return self.replaced_at.get(ref.incarnation, self.incarnation_since)

    def as_member(self, now: float, *, leaving: bool, gone: bool) -> Member:
        """Return the state of this peer as a ``Member``."""
        status = self.status
        return Member(
            node=self.node,
            address=self.address,
            region=self.region,
            zone=self.zone,
            liveness=self._liveness(now, leaving=leaving, gone=gone),
            ref=self.ref,
            log_offset=status.log_offset if status else 0,
            config_version=status.config_version if status else 0,
            ready=bool(status and status.ready),
        )

    def _liveness(self, now: float, *, leaving: bool, gone: bool) -> Liveness:
        state = self.failure_detector.update(now)
        if gone:
            return Liveness.dead
        is_leaving = leaving or bool(self.status and self.status.leaving)
        if is_leaving and state is Liveness.alive:
            return Liveness.leaving
        return state
