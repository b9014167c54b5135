"""Random steps over the capacity ledger, compared with recomputed sums."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from berylspread.limits import Barrier, CapacityLedger, FreeIndex
from berylspread.limits.free_index import free_class
from berylspread.limits.vectors import clamp_non_negative
from berylspread.model import ZERO, Resources, Vm, VmRole

WORKERS = tuple(f'w{number}' for number in range(5))
KEYS = tuple(f'k{number}' for number in range(24))

workers = st.sampled_from(WORKERS)
keys = st.sampled_from(KEYS)
amounts = st.builds(
    Resources,
    st.integers(0, 9000),
    st.integers(0, 9000),
    st.integers(0, 2),
    st.integers(0, 3),
)
capacities = st.sampled_from(
    (
        ZERO,
        Resources(8000, 16_384, 0, 8),
        Resources(16_000, 8192, 4, 8),
    )
)
barriers = st.sampled_from(tuple(Barrier))


class CapacityMachine(RuleBasedStateMachine):
    """Owners book, hold, adopt and release; workers report any capacity."""

    steps = 0

    def __init__(self) -> None:
        super().__init__()
        self.ledger = CapacityLedger('workers/r/k', FreeIndex())
        self.now = 0.0

    @rule(worker=workers)
    def add(self, worker):
        vm = Vm(worker, VmRole.worker, '10.0.0.1:1', 'r', 'z', 'k')
        self.ledger.add_worker(vm)

    @rule(worker=workers)
    def remove(self, worker):
        self.ledger.remove_worker(worker)

    @rule(worker=workers, capacity=capacities, used=amounts)
    def report(self, worker, capacity, used):
        self.ledger.apply_report(worker, capacity, used)

    @rule(worker=workers, key=keys, shape=amounts, hold_s=st.integers(0, 5))
    def book(self, worker, key, shape, hold_s):
        existing = key in self.ledger.bookings
        view = self.ledger.workers.get(worker)
        is_barred = view is None or view.barriers
        free_before = None if view is None else view.free
        expires_at = self.now + hold_s if hold_s else None
        booking = self.ledger.book(worker, key, shape, expires_at=expires_at)
        if existing or not booking:
            return
        assert not is_barred
        assert shape.fits(free_before)
        assert view.granted.fits(view.capacity)

    @rule(worker=workers, key=keys, shape=amounts)
    def adopt(self, worker, key, shape):
        self.ledger.adopt(worker, key, shape)

    @rule(key=keys, other=keys)
    def commit(self, key, other):
        self.ledger.commit(key, self.now, as_key=other)

    @rule(key=keys)
    def release(self, key):
        self.ledger.release(key)
        assert key not in self.ledger.bookings

    @rule(elapsed_s=st.integers(0, 4))
    def advance(self, elapsed_s):
        self.now += elapsed_s
        self.ledger.expire(self.now)
        for booking in self.ledger.bookings.values():
            assert not booking.has_lapsed(self.now)

    @rule(worker=workers, barrier=barriers, is_set=st.booleans())
    def change_barrier(self, worker, barrier, is_set):
        if is_set:
            self.ledger.add_barrier(worker, barrier)
        else:
            self.ledger.remove_barrier(worker, barrier)

    @rule(shape=amounts, limit=st.integers(1, 8))
    def find_candidates(self, shape, limit):
        examined_before = self.ledger.index.examined
        found = self.ledger.candidates(shape, limit)
        assert self.ledger.index.examined - examined_before <= limit
        for view in found:
            assert shape.fits(view.free)
            assert not view.barriers

    @invariant()
    def sums_agree(self):
        type(self).steps += 1
        seen = {}
        for view in self.ledger.workers.values():
            shapes = [booking.shape for booking in view.bookings.values()]
            granted = sum(shapes, start=ZERO)
            seen.update(view.bookings)
            assert granted == view.granted
            assert view.excess.is_non_negative()
            assert view.free == view.capacity - granted - view.excess
            assert self.ledger.available(view.worker).fits(
                clamp_non_negative(view.capacity - granted)
            )
        assert seen == self.ledger.bookings

    @invariant()
    def index_agrees(self):
        indexed = {
            worker: key
            for key, bucket in self.ledger.index.buckets.items()
            for worker in bucket
        }
        expected = {
            view.worker: free_class(view.free)
            for view in self.ledger.workers.values()
            if not view.barriers and view.free.is_non_negative()
        }
        assert indexed == expected
