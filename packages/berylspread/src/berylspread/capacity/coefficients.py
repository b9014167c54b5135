"""Loads the fitted lines that ``make capacity`` writes beside this module."""

from collections.abc import Mapping
from importlib import resources
from typing import Final, final

import msgspec

COEFFICIENTS_FILE: Final = 'coefficients.json'


@final
class FittedLine(msgspec.Struct, frozen=True):
    """A line fitted to measurements of a cost at several counts.

    ``residual`` is the largest deviation, as a fraction of the value;
    ``sizes`` are the counts at which the cost was measured.  The name of a
    line states its units: seconds of one core, bytes or counts, per item.
    """

    slope: float
    intercept: float
    residual: float
    sizes: tuple[float, ...]


@final
class Coefficients:
    """The fitted lines by name."""

    __slots__ = ('lines',)

    def __init__(self, lines: Mapping[str, FittedLine]) -> None:
        self.lines = lines

    def slope(self, name: str) -> float:
        """Return the cost of one more item, or 0 if the slope is negative."""
        return max(self.lines[name].slope, 0)

    def intercept(self, name: str) -> float:
        """Return the cost without any items."""
        return self.lines[name].intercept


def load_coefficients() -> Coefficients:
    """Read the lines from the package's data file."""
    blob = resources.files(__package__).joinpath(COEFFICIENTS_FILE).read_bytes()
    return Coefficients(msgspec.json.decode(blob, type=dict[str, FittedLine]))
