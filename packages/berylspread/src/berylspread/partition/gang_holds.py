"""Room that a partition holds for gangs, and the commit that starts them."""

from typing import Final, final

from berylspread.kernel import Failure, now
from berylspread.limits import BookedWork, Booking, CapacityLedger, WorkerView
from berylspread.model import JobKind, VmState
from berylspread.partition.messages import ReserveAsk, TaskGrant
from berylspread.placement import DemandClass, Pipeline

MAX_COMMIT_RESULTS: Final = 1000


@final
class GangHolds:
    """The holds of one partition, by gang and try."""

    __slots__ = ('commit_results', 'hold_keys', 'ledger')

    def __init__(self, ledger: CapacityLedger) -> None:
        """Start without holds."""
        self.ledger = ledger
        self.hold_keys: dict[str, list[str]] = {}
        self.commit_results: dict[str, bool] = {}

    def reserve(self, ask: ReserveAsk, pipeline: Pipeline) -> int:
        """Hold room for as many tasks as fit; a repeat returns the same."""
        known = self.hold_keys.get(ask.gang)
        if known is not None:
            return len(known)
        if ask.gang in self.commit_results:
            return 0
        keys: list[str] = []
        for worker in self._candidates(ask, pipeline):
            self._hold_on(worker, ask, keys)
            if len(keys) == ask.wanted:
                break
        if keys:
            self.hold_keys[ask.gang] = keys
        return len(keys)

    def release(self, gang: str) -> None:
        """Give the room of one try up."""
        for key in self.hold_keys.pop(gang, []):
            self.ledger.release(key)
        self._record_result(gang, taken=False)

    def commit(
        self, gang: str, grants: list[TaskGrant]
    ) -> list[Booking] | None:
        """Turn the holds into bookings, or return ``None`` if one lapsed.

        The bookings come in the order of the grants; a repeat of a commit that
        was taken returns none.
        """
        before = self.commit_results.get(gang)
        if before is not None:
            return [] if before else None
        keys = self.hold_keys.pop(gang, [])
        standing = [key for key in keys if self._is_held(key)]
        if len(standing) < len(grants):
            for key in keys:
                self.ledger.release(key)
            self._record_result(gang, taken=False)
            return None
        self._record_result(gang, taken=True)
        return [
            booking
            for key, grant in zip(standing, grants, strict=False)
            if not isinstance(
                booking := self.ledger.commit(
                    key, now(), as_key=str(grant.task)
                ),
                Failure,
            )
        ]

    def expire(self) -> None:
        """Forget the tries whose holds have all lapsed."""
        self.ledger.expire(now())
        for gang, keys in list(self.hold_keys.items()):
            if not any(self._is_held(key) for key in keys):
                self.release(gang)

    def _is_held(self, key: str) -> bool:
        booking = self.ledger.bookings.get(key)
        if booking is None:
            return False
        return booking.expires_at is None or booking.expires_at > now()

    def _candidates(
        self, ask: ReserveAsk, pipeline: Pipeline
    ) -> list[WorkerView]:
        demand = gang_demand(ask)
        admitted, _reasons = pipeline.apply_filters(
            demand,
            [
                worker
                for worker in self.ledger.workers.values()
                if not worker.barriers and worker.vm.state is VmState.live
            ],
        )
        return sorted(
            admitted,
            key=lambda worker: (
                -ask.shape.times_in(worker.free),
                worker.worker,
            ),
        )

    def _hold_on(
        self, worker: WorkerView, ask: ReserveAsk, keys: list[str]
    ) -> None:
        while len(keys) < ask.wanted and ask.shape.fits(worker.free):
            key = f'{ask.gang}#{len(keys)}'
            booked = self.ledger.book(
                worker.worker,
                key,
                ask.shape,
                BookedWork(kind=JobKind.gang, started_at=now()),
                expires_at=now() + ask.hold_s,
            )
            if isinstance(booked, Failure):
                return
            keys.append(key)

    def _record_result(self, gang: str, *, taken: bool) -> None:
        self.commit_results[gang] = taken
        while len(self.commit_results) > MAX_COMMIT_RESULTS:
            self.commit_results.pop(next(iter(self.commit_results)))


def gang_demand(ask: ReserveAsk) -> DemandClass:
    """Return the gang's tasks as a class that filters can look at."""
    return DemandClass(
        class_id=ask.gang,
        home=ask.home.unit,
        home_epoch=ask.home.epoch,
        team='',
        queue='',
        job_class='',
        kind=JobKind.gang,
        shape=ask.shape,
        count=ask.wanted,
        oldest_age_s=ask.waited_s,
        constraints=ask.constraints,
    )
