"""Settings of membership."""

from typing import final

import msgspec


@final
class MembershipSettings(msgspec.Struct, frozen=True):
    """Durations in seconds (``*_s``) or in heartbeat intervals (``*_after``).

    ``gone_after_s`` must exceed the lag of the platform's VM list.
    ``max_dead_after`` limits the timeout that follows from long gaps between
    a peer's replies.
    """

    heartbeat_s: float = 1.0
    remote_heartbeat_s: float = 5.0
    suspect_after: float = 2.5
    dead_after: float = 5.0
    max_dead_after: float = 12.0
    replies_to_recover: int = 2
    list_interval_s: float = 2.0
    gone_after_s: float = 15.0
    forget_after_s: float = 300.0
    stall_s: float = 1.0
