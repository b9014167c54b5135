"""Which coordinator has last reached a worker, and in which of its lives.

A worker that starts again under its id counts time anew.  An order that bears
the clock of its former life, and reaches the next one, makes the lease of all
that runs there as long as the worker grants.  A life is settled once no such
lease can be left; until then a successor must assume one.
"""

from typing import Final, NamedTuple, final

#: A life of which nothing is known.
UNKNOWN_LIFE: Final = 0


@final
class Contact(NamedTuple):
    """The last epoch whose coordinator may have extended a worker's leases."""

    epoch: int
    #: The start of the settled life, in Unix ms; 0 if none is.
    settled_born_ms: int = UNKNOWN_LIFE


NO_CONTACT: Final = Contact(0)


def encode_contact(contact: Contact) -> bytes:
    """Return the record of a contact."""
    return ' '.join(map(str, contact)).encode()


def decode_contact(blob: bytes) -> Contact:
    """Return the contact in a record; earlier versions store no life.

    Raises:
        ValueError: The record is malformed.

    """
    epoch, _, settled_born_ms = blob.partition(b' ')
    return Contact(int(epoch), int(settled_born_ms or UNKNOWN_LIFE))
