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
#: The step of jobs that are beyond every multiple of the share.
MAX_SHARE_STEP: Final = 4


@final
class _TokenBucket:
    """The tokens that are left of a share, and the time of the last update."""

    __slots__ = ('tokens', 'updated_at')

    def __init__(self, updated_at: float, tokens: float) -> None:
        self.updated_at = updated_at
        self.tokens = tokens


@final
class ShareMeter:
    """Token buckets of each organisation, filled at its share in jobs/s.

    The first bucket holds the jobs within the share.  A job that finds no token
    there takes one from the second bucket, and so on: the number of buckets
    before its own tells how many times over the share the organisation is.
    """

    __slots__ = ('buckets',)

    def __init__(self) -> None:
        self.buckets: dict[str, list[_TokenBucket]] = {}

    def take(self, tenant: str, rate_per_s: float, at_s: float) -> int:
        """Take a token for a job accepted at ``at_s``.

        Returns the share step of the job: 0 within the share, at most
        ``MAX_SHARE_STEP``, which has no bucket.
        """
        step = self.find_step(tenant, rate_per_s, at_s)
        self.charge(tenant, rate_per_s, at_s, step)
        return step

    def find_step(self, tenant: str, rate_per_s: float, at_s: float) -> int:
        """Return the share step that a job would have; takes no token."""
        buckets = self._filled(tenant, rate_per_s, at_s)
        return next(
            (step for step, bucket in enumerate(buckets) if bucket.tokens >= 1),
            MAX_SHARE_STEP,
        )

    def charge(
        self, tenant: str, rate_per_s: float, at_s: float, step: int
    ) -> None:
        """Take the token of a job whose share step is known."""
        buckets = self._filled(tenant, rate_per_s, at_s)
        if step < len(buckets):
            buckets[step].tokens = max(buckets[step].tokens - 1, 0.0)

    def _filled(
        self, tenant: str, rate_per_s: float, at_s: float
    ) -> list[_TokenBucket]:
        """Return the buckets of an organisation, with what they have gained."""
        depth = max(rate_per_s * BURST_S, 1.0)
        buckets = self.buckets.get(tenant)
        if buckets is None:
            buckets = [_TokenBucket(at_s, depth) for _ in range(MAX_SHARE_STEP)]
            self.buckets[tenant] = buckets
        for bucket in buckets:
            gained = max(at_s - bucket.updated_at, 0.0) * rate_per_s
            bucket.tokens = min(bucket.tokens + gained, depth)
            bucket.updated_at = max(bucket.updated_at, at_s)
        return buckets
