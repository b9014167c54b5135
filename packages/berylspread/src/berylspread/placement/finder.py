"""Lookup of the plug-ins that a document names."""

import math
from collections.abc import Iterable
from typing import TypeVar, final

from berylspread.kernel import Registry
from berylspread.kernel.errors import UnknownName
from berylspread.placement.kernel import (
    MAX_WEIGHT,
    PlacementPlugin,
    Scorer,
    scorers,
)

PluginT = TypeVar('PluginT', bound=PlacementPlugin)


@final
class PluginFinder:
    """Finds plug-ins by name and keeps the first error.

    ``configured`` are the instances that the document configures; the others
    have the defaults of their options.
    """

    __slots__ = ('configured', 'error')

    def __init__(self, configured: Iterable[PlacementPlugin]) -> None:
        self.configured = {type(plugin): plugin for plugin in configured}
        self.error: UnknownName | None = None

    def find(self, registry: Registry[PluginT], name: str) -> PluginT:
        """Return a plug-in.

        For an unknown name, set ``error`` and return any plug-in of the kind.
        """
        found = registry.lookup(name)
        if isinstance(found, UnknownName):
            self.error = self.error or found
            return next(iter(registry)).with_defaults()
        plugin = self.configured.get(found)
        return plugin if isinstance(plugin, found) else found.with_defaults()

    def find_all(
        self, registry: Registry[PluginT], names: Iterable[str]
    ) -> list[PluginT]:
        """Return the plug-ins with the given names."""
        return [self.find(registry, name) for name in names]

    def find_scorers(self, words: Iterable[str]) -> list[tuple[float, Scorer]]:
        """Return the scorers of words ``name`` or ``name:factor``.

        Each comes with its factor, 1 by default.
        """
        found: list[tuple[float, Scorer]] = []
        for word in words:
            name, _, factor = word.partition(':')
            try:
                weight = float(factor or 1)
            except ValueError:
                weight = math.nan
            if not 0 <= weight <= MAX_WEIGHT:
                self.error = self.error or _factor_error(word)
                weight = 0
            found.append((weight, self.find(scorers, name)))
        return found


def _factor_error(word: str) -> UnknownName:
    return UnknownName(
        f'the factor in {word!r} is not a number from 0 to {MAX_WEIGHT:g}',
        kind='scorer',
        key=word,
    )
