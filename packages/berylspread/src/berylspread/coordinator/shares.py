"""Which jobs exceed the share of their organisation.

Load pattern: one organisation sends several times its usual from one second to
the next.  Its jobs within its share keep their place; the rest run on what the
others leave, so that the others notice nothing.
"""

from typing import Final, final

#: An organisation may use this many seconds of its share at once: usual traffic
#: comes in clumps, and its waves last longer than its clumps.
BURST_S: Final = 3.0


@final
class _TokenBucket:
    """What is left of a share, and as of when."""

    __slots__ = ('tokens', 'updated_at')

    def __init__(self, updated_at: float, tokens: float) -> None:
        self.updated_at = updated_at
        self.tokens = tokens


@final
class ShareMeter:
    """Token buckets filled by the organisations' shares in jobs a second."""

    __slots__ = ('buckets',)

    def __init__(self) -> None:
        """Start with full buckets."""
        self.buckets: dict[str, _TokenBucket] = {}

    def try_take(self, tenant: str, rate_per_s: float, at_s: float) -> bool:
        """Count a job accepted at a time; return whether the share holds it."""
        depth = max(rate_per_s * BURST_S, 1.0)
        bucket = self.buckets.get(tenant)
        if bucket is None:
            bucket = _TokenBucket(at_s, depth)
            self.buckets[tenant] = bucket
        gained = max(at_s - bucket.updated_at, 0.0) * rate_per_s
        bucket.tokens = min(bucket.tokens + gained, depth)
        bucket.updated_at = max(bucket.updated_at, at_s)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True
