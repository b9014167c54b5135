"""The steps that may run and have waiting tasks.

Load pattern: a job with tens of thousands of steps that may run, such as the
occurrences that came due while it was stored, beside many small jobs.  Each
pass of the placement looks at a bounded number of steps of a job, so that other
jobs do not wait for all of them.
"""

from collections.abc import Iterator
from typing import Final, final

from berylspread.coordinator.model import Step

#: The first steps of a job that each pass looks at.
FIRST_STEPS: Final = 64
#: The further steps of a job that a pass looks at; passes take turns with them,
#: since the first ones may wait for something that the others do not need.
FURTHER_STEPS: Final = 448


@final
class JobSteps:
    """The steps of one job, in the order of their occurrences and numbers."""

    __slots__ = ('by_place', 'is_sorted', 'next_further')

    def __init__(self) -> None:
        self.by_place: dict[tuple[int, int], Step] = {}
        self.is_sorted = True
        #: Where the next pass begins among the further steps.
        self.next_further = 0

    def add(self, step: Step) -> None:
        """Add a step, unless it is there."""
        place = (step.occurrence, step.number)
        if place in self.by_place:
            return
        if self.by_place and self.is_sorted:
            self.is_sorted = next(reversed(self.by_place)) < place
        self.by_place[place] = step

    def choose(self) -> list[Step]:
        """Return the steps that the next pass looks at."""
        if not self.is_sorted and len(self.by_place) > FIRST_STEPS:
            self.by_place = dict(sorted(self.by_place.items()))
            self.is_sorted = True
        steps = list(self.by_place.values())
        if len(steps) <= FIRST_STEPS + FURTHER_STEPS:
            return steps
        first, further = steps[:FIRST_STEPS], steps[FIRST_STEPS:]
        begin = self.next_further % len(further)
        self.next_further = begin + FURTHER_STEPS
        # Wraps around at the end.
        turned = further[begin : begin + FURTHER_STEPS]
        return [*first, *turned, *further[: FURTHER_STEPS - len(turned)]]


@final
class ReadySteps:
    """The steps that may run, by job; a step without waiting tasks may stay."""

    __slots__ = ('by_job',)

    def __init__(self) -> None:
        self.by_job: dict[str, JobSteps] = {}

    def add(self, step: Step) -> None:
        """Add a step, unless it is there."""
        job_id = step.job.spec.job_id
        steps = self.by_job.get(job_id)
        if steps is None:
            steps = JobSteps()
            self.by_job[job_id] = steps
        steps.add(step)

    def discard(self, step: Step) -> None:
        """Remove a step if it is there."""
        job_id = step.job.spec.job_id
        steps = self.by_job.get(job_id)
        if steps is None:
            return
        steps.by_place.pop((step.occurrence, step.number), None)
        if not steps.by_place:
            del self.by_job[job_id]

    def discard_job(self, job_id: str) -> None:
        """Remove all steps of a job."""
        self.by_job.pop(job_id, None)

    def choose(self) -> list[Step]:
        """Return the steps that the next pass looks at."""
        return [
            step for steps in self.by_job.values() for step in steps.choose()
        ]

    def has_unseen(self) -> bool:
        """Return whether a pass does not look at all steps."""
        most = FIRST_STEPS + FURTHER_STEPS
        return any(len(each.by_place) > most for each in self.by_job.values())

    def __contains__(self, step: Step) -> bool:
        """Return whether a step is among these."""
        steps = self.by_job.get(step.job.spec.job_id)
        place = (step.occurrence, step.number)
        return steps is not None and steps.by_place.get(place) is step

    def __iter__(self) -> Iterator[Step]:
        """Yield all steps."""
        for steps in self.by_job.values():
            yield from steps.by_place.values()
