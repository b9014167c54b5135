"""The measured lines that ``make capacity`` keeps beside this module."""

from collections.abc import Mapping
from importlib import resources
from typing import Final, final

import msgspec

COEFFICIENTS_FILE: Final = 'coefficients.json'


@final
class FittedLine(msgspec.Struct, frozen=True):
    """A fitted line; ``residual`` is the worst miss in parts of the value.

    ``sizes`` are the counts at which it was measured.  The name of a line has
    the units: seconds of one core, bytes or counts, per counted thing.
    """

    slope: float
    intercept: float
    residual: float
    sizes: tuple[float, ...]


@final
class Coefficients:
    """The lines by name."""

    __slots__ = ('lines',)

    def __init__(self, lines: Mapping[str, FittedLine]) -> None:
        """Take the lines."""
        self.lines = lines

    def slope(self, name: str) -> float:
        """Return what one more of a thing costs, and nothing below 0."""
        return max(self.lines[name].slope, 0)

    def intercept(self, name: str) -> float:
        """Return what there is without any of a thing."""
        return self.lines[name].intercept


def load_coefficients() -> Coefficients:
    """Read the kept lines."""
    blob = resources.files(__package__).joinpath(COEFFICIENTS_FILE).read_bytes()
    return Coefficients(msgspec.json.decode(blob, type=dict[str, FittedLine]))
