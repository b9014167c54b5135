"""Differences between two documents, option by option."""

from typing import final

import msgspec

from berylspread.config.text import RawDocument, parse_text
from berylspread.kernel.errors import InvalidInput


@final
class Change(msgspec.Struct, frozen=True):
    """An option that differs; ``None`` where one document lacks it.

    ``option`` is empty where a whole section was added or removed.
    """

    section: str
    option: str
    before: str | None
    after: str | None


def diff(old: str, new: str) -> list[Change] | InvalidInput:
    """Return the changes from one document's text to another's."""
    before = parse_text('old', old)
    if isinstance(before, InvalidInput):
        return before
    after = parse_text('new', new)
    if isinstance(after, InvalidInput):
        return after
    changes = []
    old_sections, new_sections = (
        _options_by_header(before),
        _options_by_header(after),
    )
    for header in sorted(old_sections.keys() | new_sections.keys()):
        changes.extend(
            _diff_section(
                header, old_sections.get(header), new_sections.get(header)
            )
        )
    return changes


def _options_by_header(document: RawDocument) -> dict[str, dict[str, str]]:
    return {raw.header: dict(raw.texts) for raw in document.sections}


def _diff_section(
    header: str, old: dict[str, str] | None, new: dict[str, str] | None
) -> list[Change]:
    changes = []
    if old is None:
        changes.append(Change(header, '', None, header))
    if new is None:
        changes.append(Change(header, '', header, None))
    old_options, new_options = old or {}, new or {}
    for option in sorted(old_options.keys() | new_options.keys()):
        before, after = old_options.get(option), new_options.get(option)
        if before != after:
            changes.append(Change(header, option, before, after))
    return changes
