"""Settings of ownership."""

from typing import final

import msgspec

from berylspread.ownership.rules import Terms


@final
class OwnershipSettings(msgspec.Struct, frozen=True):
    """Durations in seconds (``*_s``) and counts.

    ``remove_after_s`` is how long a member that the platform still lists must
    be silent before it leaves the electorate, if ``min_members`` others stay.
    ``moves_at_once`` limits the units that one node hands over for balance in
    one ``move_interval_s``.
    """

    terms: Terms = Terms()
    tick_s: float = 0.25
    claim_interval_s: float = 0.5
    claim_jitter_s: float = 0.2
    claim_backoff_s: float = 1.0
    consent_wait_s: float = 1.0
    ask_timeout_s: float = 1.5
    settle_s: float = 1.0
    remove_after_s: float = 30.0
    move_interval_s: float = 1.0
    moves_at_once: int = 2
    release_timeout_s: float = 10.0
    min_members: int = 3
    max_members: int = 9
