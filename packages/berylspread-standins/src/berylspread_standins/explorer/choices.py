"""The decisions of a schedule: what becomes of each call."""

import random
from collections.abc import Mapping, Sequence
from typing import final

import msgspec

#: Options by the number of the choice; other choices take their first option.
Deviations = Mapping[int, int]


@final
class Choice(msgspec.Struct, frozen=True):
    """A decision that a schedule has made."""

    number: int
    at_s: float
    label: str
    options: tuple[str, ...]
    taken: int

    def describe(self) -> str:
        """Return the choice as a line of a report."""
        return (
            f'{self.at_s:7.3f} s  #{self.number} {self.label}: '
            f'{self.options[self.taken]}'
        )


@final
class Chooser:
    """Takes the options of a schedule and records all choices.

    With ``rng`` each choice deviates with probability ``rate`` instead.
    """

    __slots__ = ('choices', 'deviations', 'is_open', 'rate', 'rng')

    def __init__(
        self,
        deviations: Deviations,
        *,
        rng: random.Random | None = None,
        rate: float = 0.0,
    ) -> None:
        self.deviations = deviations
        self.rng = rng
        self.rate = rate
        self.choices: list[Choice] = []
        #: Whether choices may deviate at present.
        self.is_open = False

    def choose(self, at_s: float, label: str, options: Sequence[str]) -> str:
        """Return one of the options; the first one is the normal course."""
        if not self.is_open:
            return options[0]
        number = len(self.choices)
        taken = self._take(number, len(options))
        self.choices.append(Choice(number, at_s, label, tuple(options), taken))
        return options[taken]

    def taken(self) -> dict[int, int]:
        """Return the deviations that were taken."""
        return {
            choice.number: choice.taken
            for choice in self.choices
            if choice.taken
        }

    def _take(self, number: int, count: int) -> int:
        if self.rng is None:
            return min(self.deviations.get(number, 0), count - 1)
        if self.rng.random() >= self.rate:
            return 0
        return self.rng.randrange(1, count)
