"""The workers for the tasks of one step, the cheapest first.

Load pattern: steps of thousands of tasks on hundreds of workers.  A placement
changes the cost of one worker only, so a heap saves the comparison of all
workers for each task.
"""

import heapq
from collections.abc import Callable, Container
from typing import final

from berylspread.coordinator.fleet import Worker

#: A worker, and the ticket if one is needed.
Choice = tuple[Worker, str]
Cost = tuple[float, ...]
#: Returns the cost of a worker, ``None`` if it has no room.
FindCost = Callable[[Worker], Cost | None]
Entry = tuple[Cost, int, Choice]


@final
class WorkerQueue:
    """A heap of workers by cost; of equal workers, the first given comes."""

    __slots__ = ('choices', 'costs', 'find_cost', 'heap')

    def __init__(self, choices: list[Choice], find_cost: FindCost) -> None:
        self.find_cost = find_cost
        #: With the place in the given order, by name of the worker.
        self.choices = {
            choice[0].name: (index, choice)
            for index, choice in enumerate(choices)
        }
        #: The present costs; entries of the heap with others are outdated.
        self.costs: dict[str, Cost] = {}
        self.heap: list[Entry] = []
        for name in self.choices:
            self.update(name)

    def update(self, name: str) -> None:
        """Compute the cost of a worker again, after a placement on it."""
        index, choice = self.choices[name]
        cost = self.find_cost(choice[0])
        if cost is None:
            self.costs.pop(name, None)
            return
        self.costs[name] = cost
        heapq.heappush(self.heap, (cost, index, choice))

    def take(self, avoided: Container[str]) -> Choice | None:
        """Return the cheapest worker, an avoided one only if all are.

        ``update`` must follow the placement of a task on it.
        """
        skipped: list[Entry] = []
        chosen = None
        while self.heap and chosen is None:
            entry = heapq.heappop(self.heap)
            name = entry[2][0].name
            if self.costs.get(name) is not entry[0]:
                continue
            if name in avoided:
                skipped.append(entry)
            else:
                chosen = entry
        if chosen is None and skipped:
            chosen = skipped.pop(0)
        for entry in skipped:
            heapq.heappush(self.heap, entry)
        return None if chosen is None else chosen[2]
