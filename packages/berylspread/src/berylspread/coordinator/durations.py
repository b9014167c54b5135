"""How long tasks take, learned from those that have succeeded.

Load pattern: callers' estimates are off by half and more, while tasks of one
image are alike.
"""

from collections.abc import Callable
from typing import Final, final

from berylspread.coordinator.model import JobSpec, Queue, StepSpec

#: Weight of the newest task in an image's mean.
WEIGHT: Final = 0.1
MS: Final = 1000
#: A job's objective allows each step one permission request about this many
#: workers; the users' figure.
WORKERS_ALLOWED: Final = 30

#: Milliseconds that a task of a step takes.
DurationMs = Callable[[StepSpec], float]


@final
class LearnedDurations:
    """Mean durations by image."""

    __slots__ = ('mean_ms',)

    def __init__(self) -> None:
        """Start without any."""
        self.mean_ms: dict[str, float] = {}

    def learn(self, step: StepSpec, ran_s: float) -> None:
        """Take in a task that has succeeded."""
        if not step.image:
            return
        ran_ms = ran_s * MS
        known = self.mean_ms.get(step.image, ran_ms)
        self.mean_ms[step.image] = known + WEIGHT * (ran_ms - known)

    def learned_ms(self, step: StepSpec) -> float | None:
        """Return what tasks of a step's image have taken, if any has ended."""
        return self.mean_ms.get(step.image)

    def expect_ms(self, step: StepSpec) -> float:
        """Return what a task of a step is expected to take."""
        return self.mean_ms.get(step.image, step.estimate_ms)


def permission_ms(queue: Queue) -> float:
    """Return what a job's objective allows each step for its permissions."""
    if queue.advice is None:
        return 0.0
    return queue.advice.base_ms + WORKERS_ALLOWED * queue.advice.each_ms


def tails_ms(spec: JobSpec, expect_ms: DurationMs) -> list[float]:
    """Return the longest chain of work from the start of each step on, in ms.

    The steps that follow need their permissions first.
    """
    asking_ms = permission_ms(spec.queue)
    tails = [0.0 for _ in spec.steps]
    for number in range(len(spec.steps) - 1, -1, -1):
        step = spec.steps[number]
        tails[number] += expect_ms(step)
        for before in step.after:
            tails[before] = max(tails[before], asking_ms + tails[number])
    return tails


def objective_ms(spec: JobSpec, tails: list[float]) -> float:
    """Return how long a job may take in milliseconds."""
    chain_ms = permission_ms(spec.queue) + max(tails, default=0.0)
    return spec.queue.stretch * chain_ms + spec.queue.target_ms
