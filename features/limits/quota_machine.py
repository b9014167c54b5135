"""Random steps over the quota ledger and its borrowers.

The machine counts the running tasks and the calls in flight by itself, without
the ledger.  Messages are lost, late and out of order; entry nodes die and are
paused; the limit is lowered; the ledger is handed over.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from berylspread.kernel.errors import StaleEpoch
from berylspread.limits import CallAllowance, QuotaLedger
from berylspread.model import Resources

TEAM = 'proofs'
TASK = Resources(cpu_milli=500, slots=1)
ENTRIES = ('e0', 'e1')
MAX_CALL_S = 30.0
SLICE_TTL_S = 10.0
LIMIT = 6

REPLY_DELIVERIES = ('in time', 'late', 'lost')

run_times = st.sampled_from((MAX_CALL_S, 29, 1))
entries = st.sampled_from(ENTRIES)


class Entry:
    """An entry node with its allowance and the end times of its calls."""

    def __init__(self):
        self.allowance = CallAllowance()
        self.ends = []
        self.replies = []
        self.requests = []


class QuotaMachine(RuleBasedStateMachine):
    """One team of one home with two entry nodes."""

    steps = 0

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.limit = LIMIT
        self.tasks = 0
        self.incarnations = dict.fromkeys(ENTRIES, 0)
        self.entries = {self.borrower(name): Entry() for name in ENTRIES}
        self.ledger = self.new_ledger()
        # Slices lent under a higher limit may be used until this time.
        self.lowered_until = 0.0

    def borrower(self, name):
        return f'{name}#{self.incarnations[name]}'

    def new_ledger(self):
        ledger = QuotaLedger(SLICE_TTL_S, MAX_CALL_S)
        ledger.set_allotment(
            TEAM, Resources(slots=self.limit), Resources(slots=LIMIT)
        )
        return ledger

    @rule(count=st.integers(1, 2), gang=st.booleans())
    def acquire(self, count, gang):
        before = self.in_use()
        if gang:
            granted = self.ledger.acquire_all(TEAM, TASK, count) * count
        else:
            granted = self.ledger.acquire(TEAM, TASK, count)
        assert 0 <= granted <= count
        self.tasks += granted
        assert granted == 0 or before + granted <= self.limit

    @rule(count=st.integers(1, 4))
    def release(self, count):
        ended = min(count, self.tasks)
        self.tasks -= ended
        self.ledger.release(TEAM, TASK, ended)

    @rule(name=entries, wanted=st.integers(0, 8))
    def send_request(self, name, wanted):
        entry = self.entries[self.borrower(name)]
        sequence = entry.allowance.start_request(self.now, wanted)
        held_calls = entry.allowance.held_calls(self.now)
        entry.requests.append((self.ledger, sequence, wanted, held_calls))

    @rule(name=entries, which=st.integers(0, 3), again=st.booleans())
    def deliver_request(self, name, which, again):
        entry = self.entries[self.borrower(name)]
        if not entry.requests:
            return
        place = which % len(entry.requests)
        home, sequence, wanted, held_calls = entry.requests[place]
        if not again:
            entry.requests.pop(place)
        if home is not self.ledger:
            return
        reply = home.lend(
            self.borrower(name),
            TEAM,
            wanted,
            self.now,
            sequence=sequence,
            held_calls=held_calls,
        )
        if isinstance(reply, StaleEpoch):
            return
        entry.replies.append((sequence, reply.offered))

    @rule(name=entries, which=st.integers(0, 3), lost=st.booleans())
    def deliver_reply(self, name, which, lost):
        entry = self.entries[self.borrower(name)]
        if not entry.replies:
            return
        sequence, offered = entry.replies.pop(which % len(entry.replies))
        if not lost:
            entry.allowance.apply_reply(sequence, offered, SLICE_TTL_S)

    @rule(
        name=entries,
        wanted=st.sampled_from((4, 6, 2, 0)),
        reply=st.sampled_from(REPLY_DELIVERIES),
        run_s=run_times,
    )
    def exchange(self, name, wanted, reply, run_s):
        """Send a request; the reply arrives in time or late, or is lost.

        The node starts calls before its request and after the reply.
        """
        self.start_calls(name, run_s)
        self.send_request(name, wanted)
        self.deliver_request(name, -1, again=False)
        if reply != 'late':
            self.deliver_reply(name, -1, lost=reply == 'lost')
        self.start_calls(name, run_s)

    @rule(name=entries, run_s=run_times)
    def start_calls(self, name, run_s):
        """Start every call that the slice allows."""
        entry = self.entries[self.borrower(name)]
        while entry.allowance.acquire(self.now):
            entry.ends.append(self.now + run_s)

    @rule(name=entries)
    def restart_node(self, name):
        """Restart a node, which loses its state while its calls go on.

        The new incarnation is a different borrower.
        """
        self.entries[self.borrower(name)].allowance.valid_until = 0
        self.incarnations[name] += 1
        self.entries[self.borrower(name)] = Entry()

    @rule(elapsed_s=st.sampled_from((9, 1, 5, 12, 35)))
    def advance(self, elapsed_s):
        self.now += elapsed_s
        for entry in self.entries.values():
            running = [end for end in entry.ends if end > self.now]
            entry.allowance.in_flight -= len(entry.ends) - len(running)
            entry.ends = running
        self.ledger.expire_all(self.now)

    @rule(limit=st.sampled_from((LIMIT, LIMIT, 3, 1, 0)))
    def change_limit(self, limit):
        if limit < self.limit:
            self.lowered_until = self.now + self.ledger.lapse_s
        self.limit = limit
        self.ledger.set_allotment(
            TEAM, Resources(slots=limit), Resources(slots=LIMIT)
        )
        excess = self.ledger.excess(TEAM).slots
        assert excess == max(self.in_use() - limit, 0)

    @rule(amount=st.integers(1, 6), lands=st.booleans())
    def move_away(self, amount, lands):
        before = self.in_use()
        if not self.ledger.reserve_for_move(TEAM, Resources(slots=amount)):
            return
        assert before + amount <= self.limit
        assert self.ledger.acquire(TEAM, TASK, LIMIT) + before <= (
            self.limit - amount
        )
        self.tasks = self.used()
        if lands:
            self.limit -= amount
            self.ledger.set_allotment(
                TEAM, Resources(slots=self.limit), Resources(slots=LIMIT)
            )
        self.ledger.finish_move(TEAM)

    @rule(succeeds=st.sampled_from((False, False, True)))
    def hand_over(self, succeeds):
        """Start a new home, which learns the tasks but not the slices.

        It learns the tasks from the workers.
        """
        if not succeeds:
            return
        # The predecessor may have lent under a limit that was lowered since.
        is_lowered = self.now < self.lowered_until
        self.ledger = self.new_ledger()
        self.ledger.restore(TEAM, TASK, self.tasks)
        self.ledger.await_slices(
            TEAM, self.entries, self.now, is_lowered=is_lowered
        )

    def in_use(self):
        quota = self.ledger.teams[TEAM]
        return quota.in_use.slots

    def used(self):
        quota = self.ledger.teams[TEAM]
        return quota.used.slots

    def running(self):
        calls = sum(len(entry.ends) for entry in self.entries.values())
        return calls + self.tasks

    @invariant()
    def limit_is_kept(self):
        type(self).steps += 1
        ceiling = LIMIT if self.now < self.lowered_until else self.limit
        # Tasks above a lowered limit run until they are preempted, but no call
        # may start beside them.
        assert self.running() <= max(ceiling, self.tasks)

    @invariant()
    def ledger_counts_what_runs(self):
        assert self.running() <= self.ledger.teams[TEAM].max_in_use.slots
