"""What to do with a task that uses more than it was granted.

Processor time can be throttled, memory can not.  A task that still outgrows its
grant after the first measure is checkpointed if it can be, else stopped; its
neighbours are never touched.
"""

import enum
from typing import Final, final

from berylspread.model import Resources

#: Use within this factor of the grant is left alone.
TOLERANCE: Final = 1.1
#: Time for a measure to show in reports, which lag.
ACTION_GRACE_S: Final = 10.0


@final
class OveruseAction(enum.Enum):
    """Modes of ``TaskStop``, and nothing."""

    leave = 'leave'
    throttle = 'throttle'
    checkpoint = 'checkpoint'
    stop = 'stop'


@final
class OverusedResource(enum.Enum):
    """Which kind of use is above the grant."""

    no = 'no'
    processor = 'processor'
    memory = 'memory'


#: The next measure by what was done before and what is in excess.
NEXT_ACTIONS: Final = {
    (OveruseAction.leave, OverusedResource.processor): OveruseAction.throttle,
    (OveruseAction.leave, OverusedResource.memory): OveruseAction.checkpoint,
    (
        OveruseAction.throttle,
        OverusedResource.processor,
    ): OveruseAction.checkpoint,
    (OveruseAction.throttle, OverusedResource.memory): OveruseAction.checkpoint,
    (OveruseAction.checkpoint, OverusedResource.processor): OveruseAction.stop,
    (OveruseAction.checkpoint, OverusedResource.memory): OveruseAction.stop,
}


def find_overused_resource(
    used: Resources, granted: Resources
) -> OverusedResource:
    """Return what is above the grant, memory before processors."""
    if used.memory_mib > granted.memory_mib * TOLERANCE:
        return OverusedResource.memory
    if used.cpu_milli > granted.cpu_milli * TOLERANCE:
        return OverusedResource.processor
    return OverusedResource.no


@final
class OveruseTracker:
    """The measures taken per task of one owner's workers."""

    __slots__ = ('last_actions',)

    def __init__(self) -> None:
        """Start without measures."""
        self.last_actions: dict[str, tuple[OveruseAction, float]] = {}

    def choose_action(
        self,
        key: str,
        used: Resources,
        granted: Resources,
        now: float,
        *,
        preemptible: bool,
    ) -> OveruseAction:
        """Return the measure to take now, if any.

        A task that can't be checkpointed is stopped instead.
        """
        last, since = self.last_actions.get(
            key, (OveruseAction.leave, now - ACTION_GRACE_S)
        )
        excess = find_overused_resource(used, granted)
        if now - since < ACTION_GRACE_S:
            return OveruseAction.leave
        step = NEXT_ACTIONS.get((last, excess), OveruseAction.leave)
        if step is OveruseAction.checkpoint and not preemptible:
            step = OveruseAction.stop
        if step is not OveruseAction.leave:
            self.last_actions[key] = (step, now)
        return step

    def forget_task(self, key: str) -> None:
        """Forget a task."""
        self.last_actions.pop(key, None)
