"""The cluster state, folded from the records of the log.

Replay and live reading produce the same state.
"""

import collections
from collections.abc import Callable
from typing import Any, Final, final

import msgspec
from absl import logging

from berylspread.config.document import Document, read_document
from berylspread.config.environments import PRODUCTION
from berylspread.kernel import check
from berylspread.log.folds import (
    AllotmentFold,
    AllotmentsWire,
    ConfigFold,
    ConfigsWire,
    Context,
    DrainFold,
    DrainsWire,
    Fold,
    JobFold,
    JobsWire,
    KeyFold,
    KeysWire,
    UnitFold,
    UnitsWire,
    WriterFold,
    WritersWire,
)
from berylspread.log.interface import Entry
from berylspread.log.records import Batch, decode_batch
from berylspread.model import ZERO, NodeRef, Resources

RecordListener = Callable[[int, Any], None]
BatchListener = Callable[[str, int, int], None]
RestoreListener = Callable[[], None]
_Handler = Callable[[Context, Any], None]
_Handlers = dict[type[Any], list[_Handler]]

_encoder: Final = msgspec.msgpack.Encoder()


@final
class StateWire(msgspec.Struct, frozen=True, array_like=True):
    """The whole state in a snapshot, up to and including ``offset``."""

    offset: int = 0
    log_time: float = 0.0
    writers: WritersWire = WritersWire()
    configs: ConfigsWire = ConfigsWire()
    keys: KeysWire = KeysWire()
    units: UnitsWire = UnitsWire()
    jobs: JobsWire = JobsWire()
    allotments: AllotmentsWire = AllotmentsWire()
    drains: DrainsWire = DrainsWire()


_decoder: Final = msgspec.msgpack.Decoder(StateWire)


@final
class ClusterState:  # noqa: WPS230
    """The folds, and the offset of the last entry that was applied.

    ``log_time`` is the latest append time of an applied entry, in seconds since
    the epoch by the store's clock.
    """

    __slots__ = (
        'allotments',
        'batch_listeners',
        'configs',
        'drains',
        'duplicate_batches',
        'handlers',
        'jobs',
        'keys',
        'log_time',
        'offset',
        'parsed_document',
        'parsed_version',
        'record_listeners',
        'restore_listeners',
        'undecodable_entries',
        'units',
        'writers',
    )

    def __init__(self) -> None:
        self.record_listeners: collections.defaultdict[
            type[Any], list[RecordListener]
        ] = collections.defaultdict(list)
        self.batch_listeners: list[BatchListener] = []
        self.restore_listeners: list[RestoreListener] = []
        self.duplicate_batches = 0
        self.undecodable_entries = 0
        self.offset = 0
        self.log_time = 0.0
        self.parsed_document: Document | None = None
        self.parsed_version = 0
        self.writers = WriterFold()
        self.handlers: _Handlers = {}
        self._load_snapshot(StateWire())

    @property
    def document(self) -> Document:
        """The production document in force; an empty one before the first.

        If another release wrote a section in a different form, the parts of it
        that this release can read are used.
        """
        version = self.configs.version_in_force(PRODUCTION)
        number = version.version if version else 0
        if self.parsed_document is None or self.parsed_version != number:
            text = version.text if version else ''
            self.parsed_document = read_document(
                f'{PRODUCTION} {number}', text, []
            )
            self.parsed_version = number
        return self.parsed_document

    @property
    def config_version(self) -> int:
        """The version of the production document in force; 0 if none."""
        version = self.configs.version_in_force(PRODUCTION)
        return version.version if version else 0

    def owner(self, unit: str) -> tuple[NodeRef, int] | None:
        """Return the last logged owner of a unit and its epoch."""
        claim = self.units.claim(unit)
        return (claim.owner, claim.epoch) if claim else None

    def owners(self, prefix: str = '') -> dict[str, tuple[NodeRef, int]]:
        """Return owner and epoch by unit, for units whose name has a prefix."""
        return {
            unit: (claim.owner, claim.epoch)
            for unit, claim in self.units.claims.items()
            if unit.startswith(prefix)
        }

    def allotment(self, team: str, region: str) -> Resources:
        """Return a region's part of a team's limit.

        The value is meaningless in a dimension in which the team has no limit.
        """
        allotment = self.allotments.team_allotment(team)
        return allotment.part(region) if allotment else ZERO

    def subscribe(
        self, record_type: type[Any], listener: RecordListener
    ) -> None:
        """Register a listener, called with offset and record of each record.

        It is called after the batch has been applied.  A fold may have ignored
        the record, such as a claim that lost; the state shows the result.
        """
        self.record_listeners[record_type].append(listener)

    def on_batch(self, listener: BatchListener) -> None:
        """Register a listener, called with writer, sequence and offset.

        It is called after each batch that was applied.
        """
        self.batch_listeners.append(listener)

    def on_restore(self, listener: RestoreListener) -> None:
        """Register a listener, called after a snapshot replaced the state."""
        self.restore_listeners.append(listener)

    def apply_entry(self, entry: Entry) -> None:
        """Apply the next entry of the log."""
        check(
            'entries are applied in order',
            entry.offset == self.offset + 1,
            offset=entry.offset,
            expected=self.offset + 1,
        )
        self.offset = entry.offset
        self.log_time = max(self.log_time, entry.appended_at)
        batch = self._decode(entry)
        if batch is None:
            return
        if not self.writers.record_if_new(batch.writer, batch.sequence):
            self.duplicate_batches += 1
            return
        context = Context(entry.offset, self.log_time)
        for record in batch.records:
            for handler in self.handlers.get(type(record), ()):
                handler(context, record)
        self._notify_listeners(batch)

    def restore(self, wire: StateWire) -> None:
        """Replace the state by a snapshot that is not older."""
        check(
            'the state never moves back',
            wire.offset >= self.offset,
            offset=wire.offset,
            current=self.offset,
        )
        self._load_snapshot(wire)
        for listener in self.restore_listeners:
            listener()

    def to_wire(self) -> StateWire:
        """Return the contents for a snapshot."""
        return StateWire(
            self.offset,
            self.log_time,
            self.writers.to_wire(),
            self.configs.to_wire(),
            self.keys.to_wire(),
            self.units.to_wire(),
            self.jobs.to_wire(),
            self.allotments.to_wire(),
            self.drains.to_wire(),
        )

    def _load_snapshot(self, wire: StateWire) -> None:
        self.offset = wire.offset
        self.log_time = wire.log_time
        self.writers = WriterFold.from_wire(wire.writers)
        self.configs = ConfigFold.from_wire(wire.configs)
        self.keys = KeyFold.from_wire(wire.keys)
        self.units = UnitFold.from_wire(wire.units)
        if wire.offset:
            self.units.history_from = wire.log_time
        self.jobs = JobFold.from_wire(wire.jobs)
        self.allotments = AllotmentFold.from_wire(wire.allotments, self.configs)
        self.drains = DrainFold.from_wire(wire.drains)
        self.handlers = _collect_handlers(
            (
                self.configs,
                self.keys,
                self.units,
                self.jobs,
                # Applied after the configs: it reads the version in force.
                self.allotments,
                self.drains,
            )
        )

    def _decode(self, entry: Entry) -> Batch | None:
        try:
            return decode_batch(entry.blob)
        except msgspec.DecodeError as error:
            self.undecodable_entries += 1
            logging.error(
                'entry %d cannot be decoded as a batch: %s', entry.offset, error
            )
            return None

    def _notify_listeners(self, batch: Batch) -> None:
        for batch_listener in self.batch_listeners:
            batch_listener(batch.writer, batch.sequence, self.offset)
        for record in batch.records:
            for listener in self.record_listeners.get(type(record), ()):
                listener(self.offset, record)


def encode_state(wire: StateWire) -> bytes:
    """Encode a snapshot as MessagePack."""
    return _encoder.encode(wire)


def decode_state(blob: bytes) -> StateWire:
    """Decode a snapshot; raise ``msgspec.DecodeError`` if malformed."""
    return _decoder.decode(blob)


def _collect_handlers(folds: tuple[Fold, ...]) -> _Handlers:
    table: _Handlers = {}
    for fold in folds:
        for record_type, name in fold.handlers.items():
            table.setdefault(record_type, []).append(getattr(fold, name))
    return table
