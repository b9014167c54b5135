"""The INI text of a document, before its options are read."""

import configparser
import functools
from collections.abc import Iterator, Mapping
from typing import Final, final

from berylspread.kernel.errors import InvalidInput

CACHED_TEXTS: Final = 2


@final
class RawSection:
    """One section as text, with the kind and the label from its header."""

    __slots__ = ('header', 'kind', 'label', 'texts')

    def __init__(self, header: str, texts: Mapping[str, str]) -> None:
        """Split the header into kind and label at its first space."""
        self.header = header
        self.kind, _, label = header.partition(' ')
        self.label = label.strip()
        self.texts = texts


@final
class RawDocument:
    """The sections of a document, in order.

    ``source`` is the document's name in error messages.
    """

    __slots__ = ('sections', 'source')

    def __init__(self, source: str, sections: list[RawSection]) -> None:
        self.source = source
        self.sections = sections

    def of_kind(self, kind: str) -> Iterator[RawSection]:
        """Yield the sections of one kind."""
        return (section for section in self.sections if section.kind == kind)


def parse_text(source: str, text: str) -> RawDocument | InvalidInput:
    """Return the sections of an INI text, or its syntax error."""
    try:
        return RawDocument(source, _sections(text))
    except configparser.Error as error:
        line = getattr(error, 'lineno', None)
        return InvalidInput(
            f'{source}: {error.message}'.replace('\n', ' '),
            source=source,
            line=line,
        )


# The fold, the lookups and the checks parse the same document in succession.
@functools.lru_cache(maxsize=CACHED_TEXTS)
def _sections(text: str) -> list[RawSection]:
    parser = configparser.ConfigParser(
        interpolation=None, default_section='', inline_comment_prefixes=(';',)
    )
    parser.read_string(text, 'document')
    return [
        RawSection(header, dict(parser.items(header)))
        for header in parser.sections()
    ]
