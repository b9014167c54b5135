"""Registries of plug-in classes, with lookup by name or alias."""

import difflib
from collections.abc import Iterable, Iterator
from typing import Generic, TypeVar

from berylspread.kernel.errors import UnknownName

PluginT = TypeVar('PluginT', bound='Plugin')


class Plugin:
    """Base class of plug-ins; the class attributes hold the names."""

    name: str = ''
    aliases: tuple[str, ...] = ()


class Registry(Generic[PluginT]):
    """The plug-in classes of one kind, by name and alias."""

    __slots__ = ('kind', 'plugins')

    def __init__(self, kind: str) -> None:
        """Create an empty registry; error messages name the ``kind``."""
        self.kind = kind
        self.plugins: dict[str, type[PluginT]] = {}

    def register(self, cls: type[PluginT]) -> type[PluginT]:
        """Add a plug-in class under its name and aliases; a class decorator."""
        for key in (cls.name, *cls.aliases):
            registered = self.plugins.setdefault(key, cls)
            if registered is not cls:
                raise TypeError(
                    f'{self.kind} {key!r} is already used by {registered!r}'
                )
        return cls

    def lookup(self, key: str) -> type[PluginT] | UnknownName:
        """Return the class for a name or alias, or a failure if unknown."""
        found = self.plugins.get(key)
        if found is not None:
            return found
        return UnknownName(
            f'no {self.kind} is called {key!r}',
            kind=self.kind,
            key=key,
            nearest=nearest(key, self.plugins),
        )

    def __iter__(self) -> Iterator[type[PluginT]]:
        """Yield each plug-in class once, in the order of registration."""
        return iter(dict.fromkeys(self.plugins.values()))


def nearest(key: str, candidates: Iterable[str]) -> str | None:
    """Return the most similar candidate, or ``None`` if none is similar."""
    matches = difflib.get_close_matches(key, list(candidates), n=1)
    return matches[0] if matches else None
