"""The mapping from teams to home units and from names to regions."""

import itertools

import xxhash

from berylspread.model import shard_unit
from berylspread.runtime import NodeContext


def team_shard(team: str, shards: int) -> int:
    """Return the index of a team's shard, from 0 to ``shards`` - 1."""
    return xxhash.xxh64_intdigest(team.encode()) % shards


def home_unit(context: NodeContext, team: str, region: str = '') -> str:
    """Return the home unit of a team in a region, by default this node's."""
    shard = team_shard(team, context.document.limits.shards)
    return shard_unit(region or context.region, shard)


def region_by_weight(context: NodeContext, name: str) -> str:
    """Return the region of a name, chosen by a hash and the regions' weights.

    All nodes with the same document return the same region.  If the document
    gives no region a weight, the function returns this node's region.
    """
    weights = {
        region: section.weight
        for region, section in sorted(context.document.regions.items())
    }
    total = sum(weights.values())
    if not total:
        return context.region
    hash_point = xxhash.xxh64_intdigest(name.encode()) % total
    bounds = itertools.accumulate(weights.values())
    return next(
        region
        for region, bound in zip(weights, bounds, strict=True)
        if hash_point < bound
    )


def home_units(context: NodeContext, region: str) -> list[str]:
    """Return the home units of a region."""
    return [
        shard_unit(region, shard)
        for shard in range(context.document.limits.shards)
    ]
