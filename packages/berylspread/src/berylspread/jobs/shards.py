"""Which unit is home to a team."""

import itertools

import xxhash

from berylspread.model import shard_unit
from berylspread.runtime import NodeContext


def team_shard(team: str, shards: int) -> int:
    """Return the shard of a team among ``shards``."""
    return xxhash.xxh64_intdigest(team.encode()) % shards


def home_unit(context: NodeContext, team: str, region: str = '') -> str:
    """Return the unit that is home to a team in a region, or in this one."""
    shard = team_shard(team, context.document.limits.shards)
    return shard_unit(region or context.region, shard)


def region_by_weight(context: NodeContext, name: str) -> str:
    """Return the region that a name falls to, by the regions' weights.

    Every node comes to the same region under the same document; this node's is
    the answer where the document has none.
    """
    weights = {
        region: section.weight
        for region, section in sorted(context.document.regions.items())
    }
    total = sum(weights.values())
    if not total:
        return context.region
    point = xxhash.xxh64_intdigest(name.encode()) % total
    bounds = itertools.accumulate(weights.values())
    return next(
        region
        for region, bound in zip(weights, bounds, strict=True)
        if point < bound
    )


def home_units(context: NodeContext, region: str) -> list[str]:
    """Return the home units of a region."""
    return [
        shard_unit(region, shard)
        for shard in range(context.document.limits.shards)
    ]
