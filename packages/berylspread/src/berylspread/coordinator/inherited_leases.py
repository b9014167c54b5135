"""How long leases that earlier coordinators have granted may be valid."""

from typing import Final

from berylspread.coordinator.authority import AUTHORITY_GRACE_S
from berylspread.coordinator.claim_history import ClaimHistory
from berylspread.coordinator.fleet import MIN_CLOCK_RATE
from berylspread.coordinator.session import MAX_LEASE_S

#: How long after the claim that ended its epoch the leases of an earlier
#: coordinator may still be valid on a worker: its grace period plus the longest
#: lease on the slowest clock.
INHERITED_LEASE_S: Final = AUTHORITY_GRACE_S + MAX_LEASE_S / MIN_CLOCK_RATE
#: The grace period of earlier versions, which store no contacts with workers.
UNTRACKED_GRACE_S: Final = 6.0
UNTRACKED_LEASE_S: Final = UNTRACKED_GRACE_S + MAX_LEASE_S / MIN_CLOCK_RATE


def inherited_lease_s(
    claims: ClaimHistory, contact_epoch: int, token: int
) -> float:
    """Return for how long leases of earlier coordinators may be valid.

    ``contact_epoch`` is the last epoch whose coordinator has reached the
    worker; later ones have not extended its leases.  Leaders of earlier
    versions store no contacts: after one, the leases count from the claim of
    the present epoch, ``token``.
    """
    if contact_epoch <= claims.untracked_epoch:
        return UNTRACKED_LEASE_S - claims.age_after(token - 1)
    return INHERITED_LEASE_S - claims.age_after(contact_epoch)
