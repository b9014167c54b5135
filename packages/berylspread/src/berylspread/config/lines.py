"""Finds the lines of sections and options in the text of a document."""

import re
from typing import Final

HEADER: Final = re.compile(r'^\[(?P<header>[^\]]+)\]')
#: An option starts in the first column; indented lines continue its value.
OPTION: Final = re.compile(r'^(?P<option>[^\s#;\[][^=:]*?)\s*[=:]')


def find_line(text: str, section: str, option: str = '') -> int | None:
    """Return the line of an option, or of the section's header without it.

    Headers with more spaces than ``[kind label]`` and options that are indented
    aren't found: the line is then that of the header, or ``None``.

    Lines count from 1.  An option that the section leaves out is reported at
    the header; ``None`` if the text has no such section.
    """
    header_line: int | None = None
    for number, line in enumerate(text.splitlines(), start=1):
        header = HEADER.match(line)
        if header is not None:
            if header_line is not None:
                return header_line
            header_line = number if header['header'] == section else None
        found = OPTION.match(line)
        if (
            header_line is not None
            and found is not None
            and found['option'].lower() == option
        ):
            return number
    return header_line
