"""The rules of authority, as functions of what a node knows.

The program and the explorer of the protocol's states call the same functions.
All times and durations are in seconds on the clock of the node that calls.
"""

import math
from collections.abc import Iterable
from typing import Final, final

import msgspec

from berylspread.kernel.clock import CLOCK_DRIFT

FOREVER: Final = math.inf
NEVER: Final = -math.inf


@final
class Terms(msgspec.Struct, frozen=True):
    """Durations that every node must agree on, in seconds.

    ``promise_s`` is how long a promise holds at the member that gave it;
    ``blind_s`` how long a member that cannot read the log goes on promising.
    """

    promise_s: float = 4.0
    blind_s: float = 7200.0
    drift: float = CLOCK_DRIFT


@final
class MemberStatus(msgspec.Struct):
    """What decides whether a member may promise or consent.

    ``version`` is the newest electorate that it has read of the region,
    ``offset`` how far it has read; ``caught_up`` whether it has once been at
    the end of the log since it booted.
    """

    booted_s: float
    caught_up: bool
    blind_s: float
    version: int
    offset: int


def majority(count: int) -> int:
    """Return how many members of an electorate are more than half."""
    return count // 2 + 1


def is_eligible(status: MemberStatus, terms: Terms) -> bool:
    """Return whether a member may promise or consent at all.

    A member that has just booted may have forgotten a promise or a claim that
    it had read; one that has not reached the log for too long must no longer
    be waited for.
    """
    quarantine_s = terms.promise_s * (1 + terms.drift)
    return (
        status.caught_up
        and status.booted_s >= quarantine_s
        and status.blind_s < terms.blind_s
    )


def may_promise(
    status: MemberStatus, stated_version: int, terms: Terms
) -> bool:
    """Return whether a member may promise an owner that states a version.

    The member must have read exactly that version as its newest: an owner with
    an older one is refused, and for a newer one the member must read on, past
    every claim that was logged before it.
    """
    return is_eligible(status, terms) and stated_version == status.version


def may_consent(
    status: MemberStatus, stated_version: int, claim_offset: int, terms: Terms
) -> bool:
    """Return whether a member may consent to a claim at an offset.

    A member that has read the claim refuses the older epochs from then on, so
    that consenting is to say how long its last promise still holds.
    """
    return (
        may_promise(status, stated_version, terms)
        and status.offset >= claim_offset
    )


def granted_until(sent_at: float, terms: Terms) -> float:
    """Return until when an owner may count a promise that it asked for.

    Counted from when the ask was sent, and shrunk by the drift, so that it
    ends at the owner before it ends at the member.
    """
    return sent_at + terms.promise_s / (1 + terms.drift)


def refused_from(received_at: float, remaining_s: float, terms: Terms) -> float:
    """Return from when a member's last promise to older owners is over."""
    return received_at + max(remaining_s, 0) * (1 + terms.drift)


def authority_until(promise_ends: Iterable[float], member_count: int) -> float:
    """Return until when promises of a majority hold together."""
    latest = sorted(promise_ends, reverse=True)
    needed = majority(member_count)
    return latest[needed - 1] if len(latest) >= needed else NEVER


def majority_refuses_from(
    refusal_times: Iterable[float], member_count: int
) -> float:
    """Return from when a majority holds no promise to older owners."""
    earliest = sorted(refusal_times)
    needed = majority(member_count)
    return earliest[needed - 1] if len(earliest) >= needed else FOREVER


def has_authority(now: float, until: float) -> bool:
    """Return whether an owner whose promises hold until then may act."""
    return now < until


def may_act(
    now: float, *, refused: float, established: float, until: float
) -> bool:
    """Return whether a claimant that won its epoch may act under it.

    ``refused`` is when a majority holds no promise to older owners any more,
    ``established`` when that was so for the version of its electorate, and
    ``until`` when its own promises end.
    """
    waited = now >= refused and now >= established
    return waited and has_authority(now, until)


def electorate_expired_from(read_at: float, terms: Terms) -> float:
    """Return when an older electorate's members have all fallen silent.

    Each has by then read the newer version, or has not read the log for so
    long that it promises nothing; and its last promise is over.
    """
    return read_at + (terms.blind_s + terms.promise_s) * (1 + terms.drift)
