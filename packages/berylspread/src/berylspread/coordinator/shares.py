"""Finds the jobs that exceed the share of their organisation.

Load pattern: one organisation sends several times its usual number of jobs from
one second to the next.  Its jobs within the share keep their place in the
order.  The rest run on capacity that the other organisations leave, so that
these are not affected.
"""

from typing import Final, final

#: An organisation may use this many seconds of its share at once: normal
#: traffic comes in bursts, and its waves last longer than a burst.
BURST_S: Final = 3.0


@final
class _TokenBucket:
    """The tokens that are left of a share, and the time of the last update."""

    __slots__ = ('tokens', 'updated_at')

    def __init__(self, updated_at: float, tokens: float) -> None:
        self.updated_at = updated_at
        self.tokens = tokens


@final
class ShareMeter:
    """A token bucket for each organisation, filled at its share in jobs/s."""

    __slots__ = ('buckets',)

    def __init__(self) -> None:
        self.buckets: dict[str, _TokenBucket] = {}

    def try_take(self, tenant: str, rate_per_s: float, at_s: float) -> bool:
        """Take a token for a job accepted at ``at_s``, if there is one.

        Returns whether the job is within the share.
        """
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
