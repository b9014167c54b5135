"""The rules of the ownership protocol, as pure functions.

Nodes and the explorer of the protocol's states call the same functions.
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
    ``blind_s`` is how long a member that cannot read the log still promises;
    ``drift`` is the largest relative error between two clocks' rates.
    """

    promise_s: float = 4.0
    blind_s: float = 7200.0
    drift: float = CLOCK_DRIFT


@final
class MemberStatus(msgspec.Struct):
    """The status of a member, from which follows what it may grant.

    ``version`` is the newest electorate of the region that it has read,
    ``offset`` the log offset up to which it has read, and ``caught_up``
    whether it has reached the end of the log since it booted.  ``booted_s``
    and ``blind_s`` are the seconds since it booted and since it was last at
    the end of the log.
    """

    booted_s: float
    caught_up: bool
    blind_s: float
    version: int
    offset: int


def majority(count: int) -> int:
    """Return the smallest number of members that is more than half."""
    return count // 2 + 1


def is_eligible(status: MemberStatus, terms: Terms) -> bool:
    """Return whether a member may promise or consent at all.

    A member that has just booted may have forgotten a promise that it gave or
    a claim that it had read.  A member that could not read the log for
    ``blind_s`` stops promising, so that claimants need not wait for it longer.
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

    The newest version that the member has read must be the stated one.  An
    owner with an older version is refused.  For a newer version the member
    must first read up to it, and so all claims that were logged before it.
    """
    return is_eligible(status, terms) and stated_version == status.version


def may_consent(
    status: MemberStatus, stated_version: int, claim_offset: int, terms: Terms
) -> bool:
    """Return whether a member may consent to a claim at an offset.

    A member that has read the claim refuses the owners of older epochs, so
    its consent needs to say only how long its last promise to them holds.
    """
    return (
        may_promise(status, stated_version, terms)
        and status.offset >= claim_offset
    )


def granted_until(sent_at: float, terms: Terms) -> float:
    """Return until when an owner may rely on a promise that it requested.

    The duration starts when the request was sent and is shortened by the clock
    drift, so that the promise ends at the owner before it ends at the member.
    """
    return sent_at + terms.promise_s / (1 + terms.drift)


def refused_from(received_at: float, remaining_s: float, terms: Terms) -> float:
    """Return from when a member has no promise to older owners outstanding."""
    return received_at + max(remaining_s, 0) * (1 + terms.drift)


def authority_until(promise_ends: Iterable[float], member_count: int) -> float:
    """Return until when the promises of a majority hold."""
    latest = sorted(promise_ends, reverse=True)
    needed = majority(member_count)
    return latest[needed - 1] if len(latest) >= needed else NEVER


def majority_refuses_from(
    refusal_times: Iterable[float], member_count: int
) -> float:
    """Return from when a majority has no promise to older owners left."""
    earliest = sorted(refusal_times)
    needed = majority(member_count)
    return earliest[needed - 1] if len(earliest) >= needed else FOREVER


def has_authority(now: float, until: float) -> bool:
    """Return whether an owner may act whose promises hold until ``until``."""
    return now < until


def may_act(
    now: float, *, refused: float, established: float, until: float
) -> bool:
    """Return whether a claimant that won its epoch may act under it.

    ``refused`` is the time from which a majority has no promise to older
    owners left, ``established`` the same for promises under versions older
    than its electorate, and ``until`` the end of its own promises.
    """
    is_refused = now >= refused and now >= established
    return is_refused and has_authority(now, until)


def electorate_expired_from(read_at: float, terms: Terms) -> float:
    """Return from when no member of an older electorate promises anything.

    By then each has read the newer version, or has not read the log for
    ``blind_s`` and so promises nothing, and its last promise has ended.
    """
    return read_at + (terms.blind_s + terms.promise_s) * (1 + terms.drift)
