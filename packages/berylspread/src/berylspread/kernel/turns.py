"""Divides long work into turns of the event loop.

Load pattern: a few legal requests name tens of thousands of steps or tasks.
While one callback handles them all, renewals and replies wait, and the other
nodes take this one for dead.  Such work is written as a generator that yields
how much it has done since the last time, at points where its state is sound.
"""

import asyncio
import time
from collections.abc import Generator
from typing import Final, TypeVar, final

#: One unit is about ten microseconds of work on a fast processor, such as a
#: look at one step.
UNITS_PER_TURN: Final = 1000

ResultT = TypeVar('ResultT')
#: Yields the units of work since the last time; returns the result.
Work = Generator[int, None, ResultT]


@final
class Turns:
    """Ends the turn of the event loop when enough work is done in it."""

    __slots__ = ('began_s', 'spent_units', 'worked_s')

    def __init__(self) -> None:
        self.spent_units = 0
        #: The processor time of the turns that are over.
        self.worked_s = 0.0
        #: The processor time of the thread when the present turn began.
        self.began_s = time.thread_time()

    async def spend(self, units: int) -> bool:
        """Count work; let other callbacks run if the turn is used up.

        Returns whether they did, so that what was read before may be outdated.
        """
        self.spent_units += units
        if self.spent_units < UNITS_PER_TURN:
            return False
        self.spent_units = 0
        self.worked_s = self.processor_s()
        await asyncio.sleep(0)
        self.began_s = time.thread_time()
        return True

    def processor_s(self) -> float:
        """Return the processor time of all turns, in seconds."""
        return self.worked_s + time.thread_time() - self.began_s


def complete(work: Work[ResultT]) -> ResultT:
    """Do all of the work at once; return its result."""
    while True:
        try:
            next(work)
        except StopIteration as end:
            result: ResultT = end.value
            return result


async def complete_in_turns(
    work: Work[ResultT], turns: Turns | None = None
) -> ResultT:
    """Do the work in as many turns of the event loop as it needs.

    ``turns`` are those of the work that it is a part of.
    """
    turns = turns or Turns()
    while True:
        try:
            units = next(work)
        except StopIteration as end:
            result: ResultT = end.value
            return result
        await turns.spend(units)
