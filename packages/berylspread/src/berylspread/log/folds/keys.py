"""The keys of the teams: valid and withdrawn ones."""

import collections
from typing import Final, final

import msgspec

from berylspread.log.folds.base import Context, Fold, handles
from berylspread.log.records import KeyCreated, KeyWithdrawn

#: Withdrawn keys that are kept; one that was dropped is unknown, and therefore
#: also refused.
MAX_WITHDRAWN_KEYS: Final = 1000


@final
class TeamKey(msgspec.Struct, frozen=True, array_like=True):
    """A key of a team; ``withdrawn_at`` is ``None`` while it is valid."""

    key_id: str
    team: str
    digest: bytes
    label: str
    created_at: float
    withdrawn_at: float | None = None


@final
class KeysWire(msgspec.Struct, frozen=True, array_like=True):
    """The valid keys, and the withdrawn ones, oldest first."""

    active: tuple[TeamKey, ...] = ()
    withdrawn: tuple[TeamKey, ...] = ()
    changed_offset: int = 0


@final
class KeyFold(Fold):
    """Keeps keys by id; ``changed_offset`` is that of the newest record."""

    __slots__ = ('active', 'changed_offset', 'withdrawn')

    def __init__(self) -> None:
        self.changed_offset = 0
        self.active: dict[str, TeamKey] = {}
        self.withdrawn: collections.OrderedDict[str, TeamKey] = (
            collections.OrderedDict()
        )

    def find_key(self, key_id: str) -> TeamKey | None:
        """Return a key, valid or withdrawn, or ``None`` if it is unknown."""
        return self.active.get(key_id) or self.withdrawn.get(key_id)

    def active_keys_of(self, team: str) -> list[TeamKey]:
        """Return the valid keys of a team."""
        return [key for key in self.active.values() if key.team == team]

    @handles(KeyCreated)
    def on_created(self, context: Context, record: KeyCreated) -> None:
        """Add a key; ignore an id that was used before."""
        self.changed_offset = context.offset
        if self.find_key(record.key_id) is None:
            self.active[record.key_id] = TeamKey(
                record.key_id,
                record.team,
                record.digest,
                record.label,
                record.created_at,
            )

    @handles(KeyWithdrawn)
    def on_withdrawn(self, context: Context, record: KeyWithdrawn) -> None:
        """Move a key to the withdrawn keys."""
        self.changed_offset = context.offset
        key = self.active.pop(record.key_id, None)
        if key is None:
            return
        self.withdrawn[record.key_id] = msgspec.structs.replace(
            key, withdrawn_at=record.withdrawn_at
        )
        if len(self.withdrawn) > MAX_WITHDRAWN_KEYS:
            self.withdrawn.popitem(last=False)

    def to_wire(self) -> KeysWire:
        """Return the contents for a snapshot."""
        return KeysWire(
            tuple(self.active.values()),
            tuple(self.withdrawn.values()),
            self.changed_offset,
        )

    @classmethod
    def from_wire(cls, wire: KeysWire) -> 'KeyFold':
        """Restore the contents from a snapshot."""
        fold = cls()
        fold.changed_offset = wire.changed_offset
        fold.active.update({key.key_id: key for key in wire.active})
        fold.withdrawn.update({key.key_id: key for key in wire.withdrawn})
        return fold
