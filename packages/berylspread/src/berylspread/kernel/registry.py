"""Registries that decorators fill, with lookup by name or alias."""

import difflib
from collections.abc import Iterable, Iterator
from typing import Generic, TypeVar

from berylspread.kernel.errors import UnknownName

PluginT = TypeVar('PluginT', bound='Plugin')


class Plugin:
    """Base of every plug-in; its class attributes describe it."""

    name: str = ''
    aliases: tuple[str, ...] = ()


class Registry(Generic[PluginT]):
    """The plug-ins of one kind, found by name or alias."""

    __slots__ = ('kind', 'plugins')

    def __init__(self, kind: str) -> None:
        """Start empty; ``kind`` names the plug-ins in error messages."""
        self.kind = kind
        self.plugins: dict[str, type[PluginT]] = {}

    def register(self, cls: type[PluginT]) -> type[PluginT]:
        """Add a plug-in class under its name and aliases; a decorator."""
        for key in (cls.name, *cls.aliases):
            known = self.plugins.setdefault(key, cls)
            if known is not cls:
                raise TypeError(f'{self.kind} {key!r} is taken by {known!r}')
        return cls

    def lookup(self, key: str) -> type[PluginT] | UnknownName:
        """Return the class under a name or alias, or the nearest known name."""
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
        """Yield each plug-in class once, in order of registration."""
        return iter(dict.fromkeys(self.plugins.values()))


def nearest(key: str, candidates: Iterable[str]) -> str | None:
    """Return the known name most like ``key``, or ``None`` if none is near."""
    found = difflib.get_close_matches(key, list(candidates), n=1)
    return found[0] if found else None
