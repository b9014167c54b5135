"""Counters of the messages between nodes."""

import collections
from typing import final


@final
class PeerCounters:
    """Counts messages and bytes by type, and dropped messages by reason."""

    __slots__ = (
        'dropped',
        'received_bytes',
        'received_messages',
        'sent_bytes',
        'sent_frames',
        'sent_messages',
    )

    def __init__(self) -> None:
        self.sent_messages: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.received_messages: collections.Counter[str] = collections.Counter()
        self.received_bytes: collections.Counter[str] = collections.Counter()
        self.sent_frames = 0
        self.dropped: collections.Counter[str] = collections.Counter()

    def record_sent(self, type_name: str, size: int) -> None:
        """Count an envelope of ``size`` bytes that was put into a frame."""
        self.sent_messages[type_name] += 1
        self.sent_bytes[type_name] += size

    def record_received(self, type_name: str, size: int) -> None:
        """Count an envelope of ``size`` bytes that arrived."""
        self.received_messages[type_name] += 1
        self.received_bytes[type_name] += size
