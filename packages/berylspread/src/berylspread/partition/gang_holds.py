"""Capacity that a partition holds for gangs until they are committed."""

from typing import Final, final

from berylspread.kernel import Failure, now
from berylspread.limits import BookedWork, Booking, CapacityLedger, WorkerView
from berylspread.model import JobKind, VmState
from berylspread.partition.messages import ReserveAsk, TaskGrant
from berylspread.placement import DemandClass, Pipeline

MAX_COMMIT_RESULTS: Final = 1000


@final
class GangHolds:
    """The holds of one partition, by gang id.

    Each try to place a gang has an id of its own.  ``commit_results`` says
    whether a try was committed; a released or expired one was not.
    """

    __slots__ = ('commit_results', 'hold_keys', 'ledger')

    def __init__(self, ledger: CapacityLedger) -> None:
        self.ledger = ledger
        self.hold_keys: dict[str, list[str]] = {}
        self.commit_results: dict[str, bool] = {}

    def reserve(self, request: ReserveAsk, pipeline: Pipeline) -> int:
        """Book holds for as many tasks as fit, at most ``wanted``.

        Returns the number of holds; a repeated request gets the same number,
        and 0 once the try was committed or released.
        """
        held = self.hold_keys.get(request.gang)
        if held is not None:
            return len(held)
        if request.gang in self.commit_results:
            return 0
        keys: list[str] = []
        for worker in self._candidates(request, pipeline):
            self._hold_on(worker, request, keys)
            if len(keys) == request.wanted:
                break
        if keys:
            self.hold_keys[request.gang] = keys
        return len(keys)

    def release(self, gang: str) -> None:
        """Release the holds of one try."""
        for key in self.hold_keys.pop(gang, []):
            self.ledger.release(key)
        self._record_result(gang, committed=False)

    def commit(
        self, gang: str, grants: list[TaskGrant]
    ) -> list[Booking] | None:
        """Turn the holds into bookings, in the order of the grants.

        Returns ``None`` if fewer holds are left than there are grants; the
        rest is released then.  Repeating a successful commit returns an empty
        list.
        """
        previous = self.commit_results.get(gang)
        if previous is not None:
            return [] if previous else None
        keys = self.hold_keys.pop(gang, [])
        unexpired = [key for key in keys if self._is_held(key)]
        if len(unexpired) < len(grants):
            for key in keys:
                self.ledger.release(key)
            self._record_result(gang, committed=False)
            return None
        self._record_result(gang, committed=True)
        return [
            booking
            for key, grant in zip(unexpired, grants, strict=False)
            if not isinstance(
                booking := self.ledger.commit(
                    key, now(), as_key=str(grant.task)
                ),
                Failure,
            )
        ]

    def expire(self) -> None:
        """Release the tries whose holds have all lapsed."""
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
        self, request: ReserveAsk, pipeline: Pipeline
    ) -> list[WorkerView]:
        demand = gang_demand(request)
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
                -request.shape.fit_count(worker.free),
                worker.worker,
            ),
        )

    def _hold_on(
        self, worker: WorkerView, request: ReserveAsk, keys: list[str]
    ) -> None:
        while len(keys) < request.wanted and request.shape.fits(worker.free):
            key = f'{request.gang}#{len(keys)}'
            booked = self.ledger.book(
                worker.worker,
                key,
                request.shape,
                BookedWork(kind=JobKind.gang, started_at=now()),
                expires_at=now() + request.hold_s,
            )
            if isinstance(booked, Failure):
                return
            keys.append(key)

    def _record_result(self, gang: str, *, committed: bool) -> None:
        self.commit_results[gang] = committed
        while len(self.commit_results) > MAX_COMMIT_RESULTS:
            self.commit_results.pop(next(iter(self.commit_results)))


def gang_demand(request: ReserveAsk) -> DemandClass:
    """Return the gang's tasks as a demand class, for the placement filters."""
    return DemandClass(
        class_id=request.gang,
        home=request.home.unit,
        home_epoch=request.home.epoch,
        team='',
        queue='',
        job_class='',
        kind=JobKind.gang,
        shape=request.shape,
        count=request.wanted,
        oldest_age_s=request.waited_s,
        constraints=request.constraints,
    )
