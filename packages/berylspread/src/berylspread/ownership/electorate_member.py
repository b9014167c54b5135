"""The electorate member's side of promises and consents."""

from typing import final

from berylspread.kernel.clock import now
from berylspread.log.folds import Electorate, UnitClaim
from berylspread.model import NodeRef, unit_region
from berylspread.ownership.messages import (
    Consent,
    ConsentAsk,
    ConsentReply,
    KnownElectorate,
    PromiseReply,
    PromiseRequest,
    UnitEpoch,
)
from berylspread.ownership.rules import (
    NEVER,
    MemberStatus,
    Terms,
    is_eligible,
    may_consent,
    may_promise,
)
from berylspread.ownership.view import LogView


@final
class ElectorateMember:
    """Grants promises to owners and consents to claims, in memory only.

    One promise covers every unit of a region that its holder owns.  A member
    consents to a claim by reading it: from then on it refuses the older owner,
    and ``older_owners_end_at`` keeps when its last promise to that owner ends.
    """

    __slots__ = (
        'booted_at',
        'claims',
        'electorates',
        'log',
        'older_owners_end_at',
        'older_versions_end_at',
        'promise_ends',
        'ref',
        'stopped_tenures',
        'terms',
    )

    def __init__(self, ref: NodeRef, log: LogView, terms: Terms) -> None:
        """Start in quarantine: see ``is_eligible``."""
        self.ref = ref
        self.log = log
        self.terms = terms
        self.booted_at = now()
        self.promise_ends: dict[tuple[str, NodeRef], float] = {}
        self.claims: dict[str, UnitClaim] = {}
        self.electorates: dict[str, Electorate] = {}
        self.older_owners_end_at: dict[str, float] = {}
        self.older_versions_end_at: dict[str, float] = {}
        self.stopped_tenures: set[UnitEpoch] = set()

    def apply_claim(self, claim: UnitClaim) -> None:
        """Apply a claim: refuse the owners of older epochs from now on."""
        before = self.claims.get(claim.unit)
        self.claims[claim.unit] = claim
        if before is not None and before.epoch == claim.epoch:
            return
        ends_at = max(
            self.older_owners_end_at.get(claim.unit, NEVER),
            self._last_promise_ends_at(claim, before),
        )
        self.older_owners_end_at[claim.unit] = ends_at

    def apply_electorate(self, electorate: Electorate) -> None:
        """Apply an electorate: refuse owners with an older version."""
        region = electorate.region
        before = self.electorates.get(region)
        if before is not None and before.version >= electorate.version:
            return
        self._forget_ended_promises()
        self.electorates[region] = electorate
        self.older_versions_end_at[region] = max(
            (
                until
                for (
                    promised_region,
                    _owner,
                ), until in self.promise_ends.items()
                if promised_region == region
            ),
            default=NEVER,
        )

    def record_stopped_tenure(self, unit: str, epoch: int) -> None:
        """Record that this node acted under an epoch and has stopped."""
        self.stopped_tenures.add(UnitEpoch(unit, epoch))

    def grant_promises(
        self, source: NodeRef, request: PromiseRequest
    ) -> PromiseReply:
        """Grant the regions for which the requester has the newest version."""
        granted = {}
        newer = []
        for region, version in request.versions.items():
            status = self.member_status(region)
            if may_promise(status, version, self.terms):
                granted[region] = version
                self.promise_ends[region, source] = now() + self.terms.promise_s
            elif version < status.version:
                newer.append(self._known_electorate(region))
        return PromiseReply(
            granted, tuple(newer), self._superseding_claims(source, request)
        )

    def consent_reply(self, request: ConsentAsk) -> ConsentReply:
        """Return the reply to a claimant, from the log as read so far."""
        status = self.member_status(request.region)
        consents: tuple[Consent, ...] = ()
        if may_consent(status, request.version, request.offset, self.terms):
            consents = tuple(self._consents(request))
        elif status.offset >= request.offset:
            consents = tuple(
                one
                for one in self._consents(request)
                if one.predecessor_stopped
            )
        older_end_at = self.older_versions_end_at.get(request.region, NEVER)
        return ConsentReply(
            incarnation=self.ref.incarnation,
            version=status.version,
            older_remaining_s=max(older_end_at - now(), 0.0),
            eligible=is_eligible(status, self.terms),
            consents=consents,
        )

    def member_status(self, region: str) -> MemberStatus:
        """Return the status that decides on promises for a region."""
        electorate = self.electorates.get(region)
        return MemberStatus(
            booted_s=now() - self.booted_at,
            caught_up=self.log.tail_seen_at() != NEVER,
            blind_s=now() - self.log.tail_seen_at(),
            version=electorate.version if electorate else 0,
            offset=self.log.offset(),
        )

    def is_eligible(self, region: str) -> bool:
        """Return whether this node may promise, consent and claim at all."""
        return is_eligible(self.member_status(region), self.terms)

    def _forget_ended_promises(self) -> None:
        """Drop promises that have ended, also those to ended processes."""
        time = now()
        self.promise_ends = {
            key: until
            for key, until in self.promise_ends.items()
            if until > time
        }

    def _consents(self, request: ConsentAsk) -> list[Consent]:
        return [
            Consent(
                claimed.unit,
                claimed.epoch,
                max(
                    self.older_owners_end_at.get(claimed.unit, NEVER) - now(),
                    0.0,
                ),
                UnitEpoch(claimed.unit, claimed.epoch - 1)
                in self.stopped_tenures,
            )
            for claimed in request.claims
            if self._has_read_claim(claimed)
        ]

    def _has_read_claim(self, claimed: UnitEpoch) -> bool:
        claim = self.claims.get(claimed.unit)
        return claim is not None and claim.epoch >= claimed.epoch

    def _superseding_claims(
        self, source: NodeRef, request: PromiseRequest
    ) -> tuple[UnitEpoch, ...]:
        if self.log.offset() <= request.offset:
            return ()
        return tuple(
            UnitEpoch(claim.unit, claim.epoch)
            for claim in self.claims.values()
            if claim.offset > request.offset
            and claim.owner != source
            and unit_region(claim.unit) in request.versions
        )

    def _last_promise_ends_at(
        self, claim: UnitClaim, before: UnitClaim | None
    ) -> float:
        """Return when the last promise to the claim's predecessors ends."""
        if claim.epoch == 1:
            return NEVER
        region = unit_region(claim.unit)
        if before is None or before.epoch != claim.epoch - 1:
            return max(
                (
                    until
                    for (
                        promised_region,
                        owner,
                    ), until in self.promise_ends.items()
                    if promised_region == region and owner != self.ref
                ),
                default=NEVER,
            )
        if before.release_offset or before.owner == self.ref:
            return NEVER
        return self.promise_ends.get((region, before.owner), NEVER)

    def _known_electorate(self, region: str) -> KnownElectorate:
        electorate = self.electorates[region]
        return KnownElectorate(region, electorate.version, electorate.members)
