"""Reviews a document before it is sent: errors, warnings, what it changes."""

from typing import Any, final

import msgspec

from berylspread.config.checks import (
    check_change,
    check_environment,
    parse_document,
)
from berylspread.config.difference import diff
from berylspread.config.document import Document, InvalidDocument
from berylspread.config.document_warnings import DocumentWarning, find_warnings
from berylspread.config.effects import find_effect
from berylspread.config.lines import find_line
from berylspread.kernel.errors import Failure, InvalidInput


@final
class Finding(msgspec.Struct, frozen=True):
    """An error or a warning; ``line`` is ``None`` if no line is to blame."""

    line: int | None
    section: str
    option: str
    reason: str


@final
class Consequence(msgspec.Struct, frozen=True):
    """A change against the document in force, and what it does.

    ``effect`` is empty where the change has no effect on callers.
    """

    section: str
    option: str
    before: str | None
    after: str | None
    effect: str


@final
class Review(msgspec.Struct, frozen=True):
    """What is wrong with a document, and what it changes."""

    errors: list[Finding]
    warnings: list[Finding]
    changes: list[Consequence]


def review_document(
    source: str, text: str, base: str | None, environment: str = ''
) -> Review:
    """Review a document's text, against a base if one is given.

    The document must be for ``environment`` unless that is empty.
    """
    document = parse_document(source, text)
    if isinstance(document, InvalidDocument):
        errors = [_error(text, found) for found in document.fields['errors']]
        return Review(errors, [], [])
    unsuited = check_environment(document, environment) if environment else []
    review = Review(
        [_invalid_input(text, error) for error in unsuited],
        [_warning(text, found) for found in find_warnings(document)],
        [],
    )
    if base is not None:
        _compare(review, document, text, base)
    return review


def _compare(review: Review, document: Document, text: str, base: str) -> None:
    # A base with errors says nothing about the document: it is a warning.
    before = parse_document('base', base)
    if isinstance(before, InvalidDocument):
        review.warnings.append(_not_compared(before))
        return
    changes = diff(base, text)
    if isinstance(changes, InvalidInput):
        review.warnings.append(_not_compared(changes))
        return
    review.errors.extend(
        _invalid_input(text, error) for error in check_change(before, document)
    )
    review.changes.extend(
        Consequence(
            change.section,
            change.option,
            change.before,
            change.after,
            find_effect(before, document, change),
        )
        for change in changes
    )


def _not_compared(failure: Failure) -> Finding:
    return Finding(
        None, '', '', f'the document cannot be compared: {failure.reason}'
    )


def _warning(text: str, found: DocumentWarning) -> Finding:
    line = find_line(text, found.section, found.option)
    return Finding(line, found.section, found.option, found.reason)


def _invalid_input(text: str, error: InvalidInput) -> Finding:
    return _error(text, {'reason': error.reason, **error.fields})


def _error(text: str, found: dict[str, Any]) -> Finding:
    section, option = found.get('section', ''), found.get('option', '')
    line = found.get('line') or find_line(text, section, option)
    return Finding(line, section, option, found['reason'])
