"""Cluster membership from heartbeats and the platform's VM list."""

from berylspread.membership.heartbeats import HeartbeatMembership
from berylspread.membership.interface import (
    Liveness,
    Member,
    Membership,
    VmDirectory,
)
from berylspread.membership.messages import (
    Heartbeat,
    HeartbeatExtension,
    HeartbeatReply,
    NodeStatus,
)
from berylspread.membership.settings import MembershipSettings

__all__ = (
    'Heartbeat',
    'HeartbeatExtension',
    'HeartbeatMembership',
    'HeartbeatReply',
    'Liveness',
    'Member',
    'Membership',
    'MembershipSettings',
    'NodeStatus',
    'VmDirectory',
)
