"""Request ids: UUIDs of version 7 (RFC 9562), which contain a timestamp."""

import os
import uuid
from typing import Final

VERSION_7: Final = 7
RANDOM_BITS: Final = 80
MS_PER_S: Final = 1000
VERSION_SHIFT: Final = 76
VARIANT_SHIFT: Final = 62
VARIANT: Final = 2
VERSION_MASK: Final = 15
VARIANT_MASK: Final = 3
RANDOM_BYTES: Final = 10


def new_request_id(
    issued_at_s: float, random_bytes: bytes | None = None
) -> str:
    """Return an id of version 7 for a time in seconds since the epoch.

    ``random_bytes`` replaces the ten random bytes in reproducible runs.
    """
    stamp = int(issued_at_s * MS_PER_S) << RANDOM_BITS
    bits = int.from_bytes(random_bytes or os.urandom(RANDOM_BYTES)) | stamp
    bits &= ~(VERSION_MASK << VERSION_SHIFT | VARIANT_MASK << VARIANT_SHIFT)
    bits |= VERSION_7 << VERSION_SHIFT | VARIANT << VARIANT_SHIFT
    return str(uuid.UUID(int=bits))


def parse_issue_time(request_id: str) -> float | None:
    """Return the time in an id of version 7, in seconds since the epoch.

    Returns ``None`` for any other id.
    """
    try:
        parsed = uuid.UUID(request_id)
    except ValueError:
        return None
    if parsed.version != VERSION_7:
        return None
    return (parsed.int >> RANDOM_BITS) / MS_PER_S
