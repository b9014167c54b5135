"""Membership: the live list and peers' heartbeats."""

from berylspread.membership.heartbeats import HeartbeatMembership
from berylspread.membership.interface import (
    Liveness,
    Member,
    Membership,
    VmDirectory,
)
from berylspread.membership.messages import (
    Heartbeat,
    HeartbeatReply,
    NodeStatus,
    Rider,
)
from berylspread.membership.settings import MembershipSettings

__all__ = (
    'Heartbeat',
    'HeartbeatMembership',
    'HeartbeatReply',
    'Liveness',
    'Member',
    'Membership',
    'MembershipSettings',
    'NodeStatus',
    'Rider',
    'VmDirectory',
)
