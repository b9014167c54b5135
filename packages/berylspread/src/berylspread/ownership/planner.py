"""Plans the owners of a region's units from the log and the live nodes."""

from collections.abc import Callable, Sequence
from typing import final

from berylspread.log.folds import UnitClaim
from berylspread.model import NodeRef, unit_region
from berylspread.ownership.fleet import Fleet
from berylspread.ownership.policy import plan_owners
from berylspread.ownership.rules import Terms
from berylspread.ownership.view import LogView

UnitSource = Callable[[str], Sequence[str]]
_PlanKey = tuple[object, ...]


@final
class Planner:
    """Plans which node should own each unit.

    Nodes with the same view of the log and of the live nodes make the same
    plan.
    """

    __slots__ = (
        'claims_change_count',
        'excluded_nodes',
        'fleet',
        'log',
        'plan_cache',
        'terms',
        'units_of',
        'unreleased_claims',
    )

    def __init__(
        self, log: LogView, fleet: Fleet, units_of: UnitSource, terms: Terms
    ) -> None:
        self.log = log
        self.fleet = fleet
        self.units_of = units_of
        self.terms = terms
        self.excluded_nodes: set[str] = set()
        self.unreleased_claims: dict[str, list[UnitClaim]] = {}
        self.claims_change_count = 0
        self.plan_cache: dict[str, tuple[_PlanKey, dict[str, str]]] = {}

    def target_nodes(self, region: str) -> dict[str, str]:
        """Return the node that should own each unit of a region."""
        units = tuple(self.units_of(region))
        nodes = tuple(self.eligible_nodes(region))
        live = self._live_owner_refs(region)
        key = (self.log.change_count, units, nodes, live)
        cached = self.plan_cache.get(region)
        if cached is not None and cached[0] == key:
            return cached[1]
        owners = self.live_owners(region)
        targets = self._plan_by_kind(list(units), list(nodes), owners)
        self.plan_cache[region] = (key, targets)
        return targets

    def eligible_nodes(self, region: str) -> list[str]:
        """Return the members of a region's electorate that can own units."""
        electorate = self.log.electorate(region)
        if electorate is None:
            return []
        return [
            ref.node
            for ref in electorate.members
            if ref.node not in self.excluded_nodes and self._can_own(ref)
        ]

    def live_owners(self, region: str) -> dict[str, str]:
        """Return the live owner of each unit that has one."""
        live = self._live_owner_refs(region)
        return {
            claim.unit: claim.owner.node
            for claim in self._unreleased_claims(region)
            if claim.owner in live
        }

    def _live_owner_refs(self, region: str) -> frozenset[NodeRef]:
        owners = {claim.owner for claim in self._unreleased_claims(region)}
        return frozenset(owner for owner in owners if self.is_live_owner(owner))

    def _unreleased_claims(self, region: str) -> list[UnitClaim]:
        """Return a region's unreleased claims; cached until the log changes."""
        if self.claims_change_count != self.log.change_count:
            self.claims_change_count = self.log.change_count
            self.unreleased_claims.clear()
        if region not in self.unreleased_claims:
            self.unreleased_claims[region] = [
                claim
                for claim in self.log.claims()
                if unit_region(claim.unit) == region
                and not claim.release_offset
            ]
        return self.unreleased_claims[region]

    def is_live_owner(self, owner: NodeRef) -> bool:
        """Return whether an owner is present and has authority.

        Lacking authority for less than the duration of a promise is tolerated.
        """
        return self.fleet.is_present(owner) and not self.fleet.is_suspended(
            owner, self.terms.promise_s
        )

    def _can_own(self, ref: NodeRef) -> bool:
        member = self.fleet.membership.member(ref.node)
        return (
            member is not None
            and member.ready
            and self.fleet.is_usable(ref)
            and not self.fleet.is_suspended(ref, self.terms.promise_s)
        )

    def _plan_by_kind(
        self, units: list[str], nodes: list[str], owners: dict[str, str]
    ) -> dict[str, str]:
        """Plan each kind of unit separately, so that each is spread evenly."""
        targets: dict[str, str] = {}
        for kind in sorted({unit.split('/')[0] for unit in units}):
            of_kind = [unit for unit in units if unit.startswith(f'{kind}/')]
            targets.update(plan_owners(of_kind, nodes, owners))
        return targets
