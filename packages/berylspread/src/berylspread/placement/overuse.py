"""Actions on a task that uses more than its grant.

Overuse of processor time is throttled at first; memory can't be throttled.  A
task that uses more memory than its grant, or still too much processor time, is
checkpointed.  It is stopped if it can't be checkpointed, or if it still exceeds
its grant.  No action affects the other tasks on the worker.
"""

import enum
from typing import Final, final

from berylspread.model import Resources

#: Usage up to this factor of the grant is allowed.
TOLERANCE: Final = 1.1
#: Time until an action shows in the reports, which lag behind.
ACTION_GRACE_S: Final = 10.0


@final
class OveruseAction(enum.Enum):
    """The modes of ``TaskStop``, and ``leave`` for no action."""

    leave = 'leave'
    throttle = 'throttle'
    checkpoint = 'checkpoint'
    stop = 'stop'


@final
class OverusedResource(enum.Enum):
    """The resource that a task uses above its grant."""

    no = 'no'
    processor = 'processor'
    memory = 'memory'


#: The next action by the last action and the overused resource.
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
    """Return the resource that is used above the grant, memory first."""
    if used.memory_mib > granted.memory_mib * TOLERANCE:
        return OverusedResource.memory
    if used.cpu_milli > granted.cpu_milli * TOLERANCE:
        return OverusedResource.processor
    return OverusedResource.no


@final
class OveruseTracker:
    """The last action on each task of an owner's workers, with its time."""

    __slots__ = ('last_actions',)

    def __init__(self) -> None:
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
        """Return and record the action to take now.

        No action follows another one within ``ACTION_GRACE_S``.  A task that
        can't be checkpointed is stopped instead.
        """
        last, since = self.last_actions.get(
            key, (OveruseAction.leave, now - ACTION_GRACE_S)
        )
        resource = find_overused_resource(used, granted)
        if now - since < ACTION_GRACE_S:
            return OveruseAction.leave
        action = NEXT_ACTIONS.get((last, resource), OveruseAction.leave)
        if action is OveruseAction.checkpoint and not preemptible:
            action = OveruseAction.stop
        if action is not OveruseAction.leave:
            self.last_actions[key] = (action, now)
        return action

    def forget_task(self, key: str) -> None:
        """Forget a task that has ended."""
        self.last_actions.pop(key, None)
