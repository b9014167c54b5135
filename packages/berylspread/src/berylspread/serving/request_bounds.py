"""Bounds on what one connection sends for one request.

Load pattern: heads, header lines, paths, empty lines, trailers and chunk
extensions without end.  None of them reaches the application, so that only the
parser's callbacks and the size of what it was given tell how long they are.

What arrives is given to the parser in slices.  The begin of a message and the
end of a head or body lie somewhere in a slice; a slice counts for a part of the
message if it neither begins nor ends it, so that no more than is allowed is
ever counted.
"""

import http
from typing import Final, final

#: Room for the request line beside the header lines.
REQUEST_LINE_BYTES: Final = 1024
#: Separators of a header line, without the spaces that it may have.
LINE_BYTES: Final = 3
#: Empty lines before a request, which the protocol allows.
STRAY_BYTES: Final = 1024
#: Above the framing of a chunk of one byte.
FRAMING_FACTOR: Final = 8

BAD_REQUEST: Final = int(http.HTTPStatus.BAD_REQUEST)
LONG_BODY: Final = int(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
LONG_HEAD: Final = int(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)


@final
class RequestRefused(Exception):  # noqa: N818
    """A request is beyond its bounds; raised to stop the parser."""

    def __init__(self, status: int, reason: str) -> None:
        """Set the status of the answer, 0 for none, and the reason."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


@final
class RequestBounds:
    """Counts the parts of the present message; sizes are bytes."""

    __slots__ = (
        'begun_messages',
        'body_size',
        'fields_size',
        'framing_size',
        'head_bytes',
        'head_size',
        'is_in_body',
        'is_in_head',
        'stray_size',
    )

    def __init__(self, head_bytes: int) -> None:
        """Allow heads of ``head_bytes`` beside the request line."""
        self.head_bytes = head_bytes
        #: Between two messages neither is true.
        self.is_in_head = False
        self.is_in_body = False
        self.begun_messages = 0
        #: The complete header lines, and the path once the head is complete.
        self.fields_size = 0
        #: Slices of the present head.
        self.head_size = 0
        #: Slices outside any message.
        self.stray_size = 0
        self.body_size = 0
        #: What of a body's slices is no data: chunk sizes, their extensions,
        #: and trailers.
        self.framing_size = 0

    def begin_head(self) -> None:
        """Begin to count a message."""
        self.begun_messages += 1
        self.is_in_head = True
        self.fields_size = 0
        self.head_size = 0
        self.stray_size = 0

    def end_head(self) -> None:
        """Begin to count a body, or refuse the head."""
        self._check_head(self.fields_size)
        self.is_in_head = False
        self.is_in_body = True
        self.body_size = 0
        self.framing_size = 0

    def count_edge(self) -> None:
        """Count a slice in which a head or a message begins or ends."""
        if self.is_in_head:
            self._check_head(self.fields_size)

    def count_within(self, size: int, body_size: int) -> None:
        """Count a slice within one head or body, or between two messages.

        ``body_size`` bytes of it are data of a body.
        """
        if self.is_in_head:
            self.head_size += size
            self._check_head(self.head_size)
        elif self.is_in_body:
            self._count_framing(size - body_size)
        else:
            self.stray_size += size
            if self.stray_size > STRAY_BYTES:
                raise RequestRefused(BAD_REQUEST, 'empty lines')

    def _count_framing(self, size: int) -> None:
        self.framing_size += size
        allowed = self.head_bytes + FRAMING_FACTOR * self.body_size
        if self.framing_size > allowed:
            raise RequestRefused(LONG_BODY, 'chunk extensions or trailers')

    def _check_head(self, size: int) -> None:
        if size > self.head_bytes + REQUEST_LINE_BYTES:
            raise RequestRefused(LONG_HEAD, 'long head')
