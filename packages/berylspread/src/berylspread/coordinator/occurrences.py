"""The occurrences of one job, in the order in which they become due.

Load pattern: a scheduled job with tens of thousands of occurrences.  What is
asked of them in each pass is counted as it changes, instead of anew.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from berylspread.coordinator.model import Job, Step


@final
class Occurrences:
    """Which occurrences of a job are due, and what is left of them.

    A job that is not scheduled has one, which is due at once.
    """

    __slots__ = (
        'created_count',
        'dependents',
        'due_count',
        'job',
        'open_index',
        'prerequisites',
        'released_count',
        'saved_steps',
        'unfinished_by_number',
    )

    def __init__(self, job: 'Job') -> None:
        self.job = job
        #: How many have their steps.
        self.created_count = 0
        #: How many have been made ready as they became due.
        self.released_count = 0
        #: How many were due at the last look.
        self.due_count = 0
        #: The unfinished tasks of these, by number of the step.
        self.unfinished_by_number = [0 for _ in job.spec.steps]
        #: Steps with waiting tasks whose progress may be saved, by name.
        self.saved_steps: dict[str, Step] = {}
        #: No step before this one, in the order of the steps, is unfinished.
        self.open_index = 0
        #: For each step, the numbers of the steps that it waits for, each
        #: once; a caller may name one many times.
        self.prerequisites = [
            tuple(dict.fromkeys(step.after)) for step in job.spec.steps
        ]
        #: For each step, the numbers of the steps that wait for it.
        self.dependents: list[list[int]] = [[] for _ in job.spec.steps]
        for number, before in enumerate(self.prerequisites):
            for each in before:
                self.dependents[each].append(number)

    def update_due(self, wall_ms: float) -> None:
        """Count the occurrences that are due at a wall-clock time in ms."""
        due_ms = self.job.spec.due_ms
        while (
            self.due_count < self.created_count
            and due_ms(self.due_count) <= wall_ms
        ):
            for step in self._steps_of(self.due_count):
                self.unfinished_by_number[step.number] += step.unfinished_tasks
            self.due_count += 1

    def record_change(self, step: 'Step', change: int) -> None:
        """Record a change of a step's unfinished tasks."""
        if step.occurrence < self.due_count:
            self.unfinished_by_number[step.number] += change

    def waiting_saved_steps(self) -> list['Step']:
        """Return the steps with waiting tasks whose progress may be saved."""
        for name, step in list(self.saved_steps.items()):
            if not step.waiting_tasks:
                # It is recorded again when a task waits again.
                del self.saved_steps[name]
        return list(self.saved_steps.values())

    def find_next_step(self, wall_ms: float) -> 'Step | None':
        """Return the first step that is due and not done."""
        spec, steps = self.job.spec, self.job.steps
        while self.open_index < len(steps):
            step = steps[divmod(self.open_index, len(spec.steps))]
            if not step.is_done():
                is_due = spec.due_ms(step.occurrence) <= wall_ms
                return step if is_due else None
            self.open_index += 1
        return None

    def release_due(self, wall_ms: float) -> 'Iterator[Step]':
        """Yield the steps of the occurrences that have become due."""
        while (next_ms := self.next_due_ms()) is not None:
            if next_ms > wall_ms:
                break
            steps = self._steps_of(self.released_count)
            self.released_count += 1
            yield from steps

    def next_due_ms(self) -> int | None:
        """Return when the next occurrence becomes due, ``None`` if none will.

        The time is in ms since the epoch.
        """
        if self.released_count >= self.created_count:
            return None
        return self.job.spec.due_ms(self.released_count)

    def find_prerequisites(self, step: 'Step') -> 'Iterator[Step]':
        """Yield the steps of the same occurrence that a step waits for."""
        for number in self.prerequisites[step.number]:
            yield self.job.steps[step.occurrence, number]

    def find_dependents(self, step: 'Step') -> 'Iterator[Step]':
        """Yield the steps of the same occurrence that wait for a step."""
        for number in self.dependents[step.number]:
            yield self.job.steps[step.occurrence, number]

    def close(self) -> None:
        """Forget the steps: the job has ended."""
        self.created_count = 0
        self.prerequisites = []
        self.dependents = []
        self.saved_steps = {}

    def _steps_of(self, occurrence: int) -> list['Step']:
        steps = self.job.steps
        return [
            steps[occurrence, number]
            for number in range(len(self.job.spec.steps))
        ]
