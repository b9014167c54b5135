"""How long tasks take, learned from those that have succeeded.

Load pattern: callers' estimates are off by half and more, while tasks of one
image are alike.  A step takes as long as its slowest task, so wide steps take
longer than their tasks' mean.
"""

import math
from collections.abc import Callable
from typing import Final, final

from berylspread.coordinator.model import (
    MS_PER_S,
    JobSpec,
    Queue,
    StepSpec,
)

#: Weight of the newest task in an image's mean.
MEAN_WEIGHT: Final = 0.1
#: Relative deviation of the tasks of an image before any is known.
DEFAULT_SPREAD: Final = 0.3
#: Weight of the newest task in the deviation; it is that of all images.
SPREAD_WEIGHT: Final = 0.01
#: The largest of n draws exceeds the mean by about sqrt(2 ln n) less this many
#: deviations; within 0.1 for n from 2 to 100.
LARGEST_DRAW_OFFSET: Final = 0.6
#: A job's objective allows each step one permission request about this many
#: workers; the users' figure.
OBJECTIVE_WORKERS: Final = 30

#: Milliseconds that a task of a step takes.
DurationMs = Callable[[StepSpec], float]


@final
class DurationEstimator:
    """Mean durations by image, and how far tasks deviate from them."""

    __slots__ = ('mean_ms', 'variance')

    def __init__(self) -> None:
        """Start without any."""
        self.mean_ms: dict[str, float] = {}
        #: Mean square of the relative deviation.
        self.variance = DEFAULT_SPREAD**2

    def record_task(self, step: StepSpec, ran_s: float) -> None:
        """Take in a task that has succeeded."""
        if not step.image:
            return
        ran_ms = ran_s * MS_PER_S
        known = self.mean_ms.get(step.image, ran_ms)
        self.mean_ms[step.image] = known + MEAN_WEIGHT * (ran_ms - known)
        if known:
            square = (ran_ms / known - 1) ** 2
            self.variance += SPREAD_WEIGHT * (min(square, 1) - self.variance)

    def find_mean_ms(self, step: StepSpec) -> float | None:
        """Return what tasks of a step's image have taken, if any has ended."""
        return self.mean_ms.get(step.image)

    def expected_ms(self, step: StepSpec) -> float:
        """Return what a task of a step is expected to take."""
        return self.mean_ms.get(step.image, step.estimate_ms)

    def expected_longest_ms(self, step: StepSpec) -> float:
        """Return what the slowest task of a step is expected to take."""
        if step.count < 2:
            return self.expected_ms(step)
        deviations = math.sqrt(2 * math.log(step.count)) - LARGEST_DRAW_OFFSET
        excess = math.sqrt(self.variance) * max(deviations, 0.0)
        return self.expected_ms(step) * (1 + excess)


def permission_ms(queue: Queue) -> float:
    """Return what a job's objective allows each step for its permissions."""
    if queue.permission_terms is None:
        return 0.0
    return (
        queue.permission_terms.base_ms
        + OBJECTIVE_WORKERS * queue.permission_terms.each_ms
    )


def critical_paths_ms(spec: JobSpec, expect_ms: DurationMs) -> list[float]:
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


def size_core_s(spec: JobSpec, expect_ms: DurationMs) -> float:
    """Return what all tasks of one occurrence take, in core-seconds."""
    return sum(
        step.count
        * step.demand.cpu_milli
        * expect_ms(step)
        / MS_PER_S
        / MS_PER_S
        for step in spec.steps
    )
