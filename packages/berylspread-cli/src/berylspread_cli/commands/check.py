"""``berylspread check``: a document is reviewed before it is sent."""

import sys
from pathlib import Path
from typing import Final, NoReturn

import msgspec

from berylspread.config import Review, review_document
from berylspread.config.environments import PRODUCTION
from berylspread.kernel.errors import Failure
from berylspread_cli.client import Client
from berylspread_cli.output import failure_lines, show_json, show_table

#: The value of ``--against`` that stands for the document in force.
CURRENT: Final = 'current'
EXIT_ERRORS: Final = 1
EXIT_WARNINGS: Final = 2
FINDING_COLUMNS: Final = ('line', 'section', 'option', 'reason')
CHANGE_COLUMNS: Final = ('section', 'option', 'before', 'after', 'effect')


def run_check(
    client: Client, file: str, against: str, environment: str, *, as_json: bool
) -> None:
    """Print the review of a file; exit with 1 for errors, 2 for warnings.

    ``against`` is another file, ``current`` for the document in force, or
    empty for no comparison.  The document must be for ``environment``; empty
    stands for production with ``current``, and for any otherwise.
    """
    text = _read(file)
    if against == CURRENT:
        environment = environment or PRODUCTION
    review = review_document(
        file, text, _read_base(client, against, environment), environment
    )
    if as_json:
        show_json(review)
    else:
        _show_review(review)
    if review.errors:
        sys.exit(EXIT_ERRORS)
    if review.warnings:
        sys.exit(EXIT_WARNINGS)


def _show_review(review: Review) -> None:
    for title, rows, columns in (
        ('errors', review.errors, FINDING_COLUMNS),
        ('warnings', review.warnings, FINDING_COLUMNS),
        ('changes', review.changes, CHANGE_COLUMNS),
    ):
        print(f'{title}: {len(rows)}')
        if rows:
            show_table([msgspec.structs.asdict(row) for row in rows], columns)


def _read_base(client: Client, against: str, environment: str) -> str | None:
    if against != CURRENT:
        return _read(against) if against else None
    response = client.get(f'/v1/admin/config/{environment}')
    if isinstance(response, Failure):
        _exit_unread(failure_lines(response))
    # Before the first document there is nothing to compare with.
    return response['text'] or None


def _read(file: str) -> str:
    try:
        if file == '-':
            return sys.stdin.read()
        return Path(file).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        _exit_unread([f'{file}: {error}'])


def _exit_unread(problems: list[str]) -> NoReturn:
    for problem in problems:
        sys.stderr.write(f'berylspread: {problem}\n')
    sys.exit(EXIT_ERRORS)
