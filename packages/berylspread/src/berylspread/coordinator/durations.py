"""Estimates the durations of tasks from those that have succeeded.

Load pattern: callers' estimates are wrong by half and more, while tasks of one
image take similar times.  A step takes as long as its slowest task, so a wide
step takes longer than the mean of its tasks.

Durations are those on a typical worker; see ``worker_speeds``.
"""

import math
from collections.abc import Callable
from typing import Final, final

from berylspread.coordinator.fleet import Worker
from berylspread.coordinator.model import (
    MS_PER_S,
    JobSpec,
    Queue,
    Step,
    StepSpec,
)
from berylspread.coordinator.worker_speeds import WorkerSpeeds

#: Weight of the newest task in the mean of an image.
MEAN_WEIGHT: Final = 0.1
#: The assumed relative deviation from the mean before any task has ended.
DEFAULT_SPREAD: Final = 0.3
#: Weight of the newest task in the variance, which covers all images.
SPREAD_WEIGHT: Final = 0.01
#: The largest of n draws exceeds the mean by about sqrt(2 ln n) minus this many
#: deviations; the error is within 0.1 for n from 2 to 100.
LARGEST_DRAW_OFFSET: Final = 0.6
#: A job's objective allows each step the time of one permission request for
#: this many workers; the users gave this number.
OBJECTIVE_WORKERS: Final = 30

#: Returns the expected duration of a task of a step in milliseconds.
DurationMs = Callable[[StepSpec], float]


@final
class DurationEstimator:
    """The mean duration by image, and the variance around the mean."""

    __slots__ = ('mean_ms', 'speeds', 'variance')

    def __init__(self) -> None:
        self.mean_ms: dict[str, float] = {}
        #: Mean square of the relative deviation.
        self.variance = DEFAULT_SPREAD**2
        #: The speeds of the workers, which no duration here depends on.
        self.speeds = WorkerSpeeds()

    def record_task(
        self, step: StepSpec, ran_s: float, slowness: float = 1.0
    ) -> None:
        """Record the duration of a task that has succeeded.

        ``slowness`` is the time that a task takes on its worker, relative to a
        typical one.
        """
        if not step.image:
            return
        ran_ms = ran_s * MS_PER_S / slowness
        known = self.mean_ms.get(step.image, ran_ms)
        self.mean_ms[step.image] = known + MEAN_WEIGHT * (ran_ms - known)
        if known:
            square = (ran_ms / known - 1) ** 2
            self.variance += SPREAD_WEIGHT * (min(square, 1) - self.variance)

    def find_mean_ms(self, step: StepSpec) -> float | None:
        """Return the mean duration for a step's image, if it is known."""
        return self.mean_ms.get(step.image)

    def find_step_mean_s(self, step: Step) -> float | None:
        """Return the mean duration of a step's tasks on a typical worker.

        It is that of the image, or else, if the kinds of workers differ, of
        the tasks that have ended.
        """
        mean_ms = self.find_mean_ms(step.spec)
        if mean_ms is not None:
            return mean_ms / MS_PER_S
        speeds = self.speeds
        return speeds.typical_s(step) if speeds.slowest > 1 else None

    def expected_ms(self, step: StepSpec) -> float:
        """Return the expected duration of a task of a step."""
        return self.mean_ms.get(step.image, step.estimate_ms)

    def expected_on(self, step: StepSpec, worker: Worker) -> float:
        """Return the expected duration of a task on a worker, in ms."""
        return self.expected_ms(step) * worker.slowness

    def expected_longest_ms(self, step: StepSpec) -> float:
        """Return the expected duration of the slowest task of a step."""
        if step.count < 2:
            return self.expected_ms(step)
        deviations = math.sqrt(2 * math.log(step.count)) - LARGEST_DRAW_OFFSET
        excess = math.sqrt(self.variance) * max(deviations, 0.0)
        return self.expected_ms(step) * (1 + excess)


def permission_ms(queue: Queue) -> float:
    """Return the time that an objective allows a step for permissions."""
    if queue.permission_terms is None:
        return 0.0
    return (
        queue.permission_terms.base_ms
        + OBJECTIVE_WORKERS * queue.permission_terms.each_ms
    )


def critical_paths_ms(spec: JobSpec, expected_ms: DurationMs) -> list[float]:
    """Return the critical path from the start of each step to the job's end.

    It includes the permission requests of the later steps.
    """
    request_ms = permission_ms(spec.queue)
    paths = [0.0 for _ in spec.steps]
    for number in range(len(spec.steps) - 1, -1, -1):
        step = spec.steps[number]
        paths[number] += expected_ms(step)
        for before in step.after:
            paths[before] = max(paths[before], request_ms + paths[number])
    return paths


def objective_ms(spec: JobSpec, paths: list[float]) -> float:
    """Return how long a job may take, from the critical paths of its steps."""
    path_ms = permission_ms(spec.queue) + max(paths, default=0.0)
    return spec.queue.stretch * path_ms + spec.queue.target_ms


def size_core_s(spec: JobSpec, expected_ms: DurationMs) -> float:
    """Return the expected core-seconds of one occurrence of a job."""
    return sum(
        step.count
        * step.demand.cpu_milli
        * expected_ms(step)
        / MS_PER_S
        / MS_PER_S
        for step in spec.steps
    )
