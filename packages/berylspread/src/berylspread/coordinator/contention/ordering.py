"""Orders ready steps, and says which runs give way, by one policy."""

from collections.abc import Iterable
from typing import Final, final

from berylspread.coordinator.contention.registry import (
    ContentionPolicy,
    Rank,
)
from berylspread.coordinator.contention.standing import (
    Standing,
    find_delay_ms,
    find_remaining_core_s,
    find_standing,
)
from berylspread.coordinator.model import Job, Step

#: Obstacles of steps that are placed once they come first.
PLACEABLE: Final = frozenset(('', 'room'))


@final
class Ordering:
    """A policy at one moment; the standings are computed once."""

    __slots__ = ('policy', 'remaining_core_s', 'standings', 'wall_ms')

    def __init__(self, policy: ContentionPolicy, wall_ms: float) -> None:
        self.policy = policy
        self.wall_ms = wall_ms
        self.standings: dict[str, Standing] = {}
        #: What each job still needs, by id; jobs have up to thousands of steps.
        self.remaining_core_s: dict[str, float] = {}

    def standing(self, step: Step) -> Standing:
        """Return the standing of a step at the moment."""
        known = self.standings.get(step.name)
        if known is None:
            known = find_standing(
                step,
                self.wall_ms,
                self.find_remaining(step.job),
                find_delay_ms(step) if self.policy.counts_from_due else 0.0,
            )
            self.standings[step.name] = known
        return known

    def find_remaining(self, job: Job) -> float:
        """Return the core-seconds that a job still needs."""
        job_id = job.spec.job_id
        known = self.remaining_core_s.get(job_id)
        if known is None:
            known = find_remaining_core_s(job, self.wall_ms)
            self.remaining_core_s[job_id] = known
        return known

    def arrange(self, steps: Iterable[Step]) -> list[Step]:
        """Return steps in the order of placement.

        Steps that are ranked alike come in the order of their names, whichever
        arrived first.  Of the overdue jobs the one that has waited the longest
        goes before all steps; the others keep their place until it is their
        turn, so that a crowd of overdue jobs does not make more jobs overdue.
        One that had no quota, permission or worker in the last pass is passed
        over, so that it does not keep the others waiting.
        """
        ordered = sorted(steps, key=self._place)
        if not self.policy.promotes_overdue:
            return ordered
        overdue = [
            step
            for step in ordered
            if step.waiting_tasks
            and step.blocked_by in PLACEABLE
            and self.standing(step).is_overdue
        ]
        if not overdue:
            return ordered
        first = max(overdue, key=self._waited)
        job = first.job
        return [
            *(step for step in ordered if step.job is job),
            *(step for step in ordered if step.job is not job),
        ]

    def gives_way(self, run_step: Step, step: Step) -> bool:
        """Return whether a run of one step may be stopped for another."""
        if self.policy.promotes_overdue and self.standing(run_step).is_overdue:
            # It was placed before all others, or would be again.
            return False
        group = self.policy.group
        return group(self.standing(run_step)) > group(self.standing(step))

    def victim_rank(self, run_step: Step) -> Rank:
        """Return the place of a run in the order of stopping."""
        return self.policy.victim_rank(self.standing(run_step))

    def _place(self, step: Step) -> tuple[Rank, str]:
        return self.policy.rank(self.standing(step)), step.name

    def _waited(self, step: Step) -> tuple[float, str]:
        return self.standing(step).waited_ms, step.name
