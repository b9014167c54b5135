"""Which of fast and slow workers a step prefers.

Load pattern: urgent steps of ten tasks beside batch work, on kinds of workers
that differ in speed by a factor of two.  One task on a slow worker makes the
whole job late, while batch jobs have time for it.  An urgent step, and one
that is on time on the fast workers only, prefers those.  Other work, also a
backlog that is late on any worker, leaves them free once their room is scarce;
before, it ends sooner, and frees its room for the next burst, if it runs on all
of them.  No step waits for a worker of another speed.
"""

from typing import Final

from berylspread.coordinator.fleet import Worker
from berylspread.coordinator.model import HIGHEST_PRIORITY, Step
from berylspread.coordinator.urgency import remaining_path_ms

#: What a step prefers; the sign of a kind's tier in the penalty.
FAST_FIRST: Final = 1
ANY_SPEED: Final = 0
SLOW_FIRST: Final = -1


def choose_preference(
    step: Step,
    factors: tuple[float, float],
    wall_ms: float,
    *,
    is_fast_scarce: bool,
) -> int:
    """Return which workers a step prefers.

    ``factors`` are the times that a task takes on the fastest and the slowest
    kind of workers, relative to a typical worker; ``is_fast_scarce`` says that
    the fastest kind has little room left.
    """
    if step.spec.long_running:
        return SLOW_FIRST
    rest_ms, left_ms = remaining_path_ms(step), step.job.deadline_ms - wall_ms
    fastest, slowest = factors
    is_speed_decisive = fastest * rest_ms <= left_ms < slowest * rest_ms
    if step.priority == HIGHEST_PRIORITY or is_speed_decisive:
        return FAST_FIRST
    return SLOW_FIRST if is_fast_scarce else ANY_SPEED


def speed_penalty(step: Step, worker: Worker) -> tuple[int, int]:
    """Return the penalties of a worker's speed, the heaviest first.

    They are the same for all workers whose speeds are alike.
    """
    speed, preference = worker.health, step.speed_preference
    if preference == FAST_FIRST:
        return speed.kind_tier + speed.own_tier, 0
    # A worker that is slow for its kind may be unhealthy.
    return max(speed.own_tier, 0), preference * speed.kind_tier
