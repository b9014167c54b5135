"""Edits the committed examples in memory."""

import configparser
import io
from pathlib import Path

from berylspread.config import Document, InvalidDocument, parse_document

EXAMPLES = Path(__file__).resolve().parents[2] / 'examples'


class Editor:
    """A document's text that steps edit."""

    def __init__(self, text: str) -> None:
        self.original = text
        self.parser = configparser.ConfigParser(
            interpolation=None, default_section=''
        )
        self.parser.read_string(text)

    def text(self) -> str:
        target = io.StringIO()
        self.parser.write(target)
        return target.getvalue()

    def parse(self) -> Document | InvalidDocument:
        return parse_document('document', self.text())

    def errors(self) -> list[dict]:
        found = self.parse()
        return (
            found.fields['errors'] if isinstance(found, InvalidDocument) else []
        )
