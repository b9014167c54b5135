"""The document in force in each environment, and its history."""

from typing import Final, final

import msgspec

from berylspread.log.folds.base import Context, Fold, handles
from berylspread.log.records import ConfigApplied

#: Versions of an environment that are kept for ``history``.
MAX_VERSIONS: Final = 50
#: Versions whose text is kept, including the one in force.
MAX_TEXTS: Final = 3
#: Refusals that are kept for the authors of the documents.
MAX_REFUSALS: Final = 20


@final
class DocumentVersion(msgspec.Struct, frozen=True, array_like=True):
    """One accepted document; ``text`` is empty in old versions."""

    version: int
    base: int
    author: str
    note: str
    applied_at: float
    text: str


@final
class Refusal(msgspec.Struct, frozen=True, array_like=True):
    """A refused document: its base was not the version in force."""

    offset: int
    base: int
    in_force: int
    author: str


@final
class EnvironmentWire(msgspec.Struct, frozen=True, array_like=True):
    """The versions of one environment, oldest first."""

    versions: tuple[DocumentVersion, ...] = ()
    refusals: tuple[Refusal, ...] = ()


@final
class ConfigsWire(msgspec.Struct, frozen=True, array_like=True):
    """The versions of every environment."""

    environments: dict[str, EnvironmentWire] = {}


@final
class ConfigFold(Fold):
    """Accepts a document only if it is based on the version in force."""

    __slots__ = ('refusals', 'versions')

    def __init__(self) -> None:
        self.versions: dict[str, list[DocumentVersion]] = {}
        self.refusals: dict[str, list[Refusal]] = {}

    def version_in_force(self, environment: str) -> DocumentVersion | None:
        """Return the version in force, or ``None`` before the first."""
        versions = self.versions.get(environment)
        return versions[-1] if versions else None

    def history(self, environment: str) -> tuple[DocumentVersion, ...]:
        """Return the versions that are kept, oldest first."""
        return tuple(self.versions.get(environment, ()))

    def find_refusal(self, environment: str, offset: int) -> Refusal | None:
        """Return the refusal of the document at an offset, or ``None``."""
        return next(
            (
                refused
                for refused in self.refusals.get(environment, ())
                if refused.offset == offset
            ),
            None,
        )

    @handles(ConfigApplied)
    def on_applied(self, context: Context, record: ConfigApplied) -> None:
        """Put the document in force, or record its refusal."""
        current = self.version_in_force(record.environment)
        in_force = current.version if current else 0
        if record.base != in_force:
            refusals = self.refusals.setdefault(record.environment, [])
            refusals.append(
                Refusal(context.offset, record.base, in_force, record.author)
            )
            del refusals[:-MAX_REFUSALS]
            return
        versions = self.versions.setdefault(record.environment, [])
        versions.append(
            DocumentVersion(
                context.offset,
                record.base,
                record.author,
                record.note,
                record.applied_at,
                record.text,
            )
        )
        del versions[:-MAX_VERSIONS]
        if len(versions) > MAX_TEXTS:
            old = versions[-MAX_TEXTS - 1]
            versions[-MAX_TEXTS - 1] = msgspec.structs.replace(old, text='')

    def to_wire(self) -> ConfigsWire:
        """Return the contents for a snapshot."""
        names = sorted(self.versions.keys() | self.refusals.keys())
        return ConfigsWire(
            {
                name: EnvironmentWire(
                    tuple(self.versions.get(name, ())),
                    tuple(self.refusals.get(name, ())),
                )
                for name in names
            }
        )

    @classmethod
    def from_wire(cls, wire: ConfigsWire) -> 'ConfigFold':
        """Restore the contents from a snapshot."""
        fold = cls()
        for name, environment in wire.environments.items():
            if environment.versions:
                fold.versions[name] = list(environment.versions)
            if environment.refusals:
                fold.refusals[name] = list(environment.refusals)
        return fold
