"""The states of a unit at one node."""

import enum
from typing import Final, final

from berylspread.kernel.invariants import check


@final
class UnitState(enum.Enum):
    """The state of a unit at one node."""

    idle = 'idle'
    claiming = 'claiming'
    waiting = 'waiting'
    holding = 'holding'
    releasing = 'releasing'
    lost = 'lost'


@final
class UnitEvent(enum.Enum):
    """An event that changes the state of a unit at a node."""

    claim_sent = 'claim-sent'
    claim_failed = 'claim-failed'
    claim_won = 'claim-won'
    cleared = 'cleared'
    release_sent = 'release-sent'
    superseded = 'superseded'


TRANSITIONS: Final = {
    (UnitState.idle, UnitEvent.claim_sent): UnitState.claiming,
    (UnitState.idle, UnitEvent.claim_won): UnitState.waiting,
    (UnitState.idle, UnitEvent.superseded): UnitState.idle,
    (UnitState.claiming, UnitEvent.claim_failed): UnitState.idle,
    (UnitState.claiming, UnitEvent.claim_won): UnitState.waiting,
    (UnitState.claiming, UnitEvent.superseded): UnitState.idle,
    (UnitState.waiting, UnitEvent.cleared): UnitState.holding,
    (UnitState.waiting, UnitEvent.superseded): UnitState.lost,
    (UnitState.waiting, UnitEvent.claim_failed): UnitState.waiting,
    (UnitState.holding, UnitEvent.release_sent): UnitState.releasing,
    (UnitState.holding, UnitEvent.superseded): UnitState.lost,
    (UnitState.holding, UnitEvent.claim_failed): UnitState.holding,
    (UnitState.releasing, UnitEvent.superseded): UnitState.lost,
    (UnitState.releasing, UnitEvent.claim_failed): UnitState.releasing,
    (UnitState.lost, UnitEvent.claim_sent): UnitState.claiming,
    (UnitState.lost, UnitEvent.claim_won): UnitState.waiting,
    (UnitState.lost, UnitEvent.superseded): UnitState.lost,
    (UnitState.lost, UnitEvent.claim_failed): UnitState.lost,
    (UnitState.idle, UnitEvent.claim_failed): UnitState.idle,
}


def next_state(state: UnitState, event: UnitEvent) -> UnitState:
    """Return the state after an event.

    An event that ``TRANSITIONS`` lacks for the state violates an invariant
    and leaves the state as it is.
    """
    following = TRANSITIONS.get((state, event))
    check(
        'unit state has a transition',
        following is not None,
        state=state.value,
        event=event.value,
    )
    return following or state
