"""Output of the command line: tables for people, JSON for programs."""

import sys
from collections.abc import Sequence
from typing import Any, Final, NoReturn

import msgspec

from berylspread.kernel.errors import Failure

MILLI_PER_CORE: Final = 1000
MIB_PER_GIB: Final = 1024
SHAPE_FIELDS: Final = frozenset(('shape', 'limit'))
ERROR_FIELDS: Final = ('nearest', 'allowed')


def show_json(found: Any) -> None:
    """Print one line of JSON."""
    print(msgspec.json.encode(found).decode())


def show_table(rows: Sequence[dict[str, Any]], columns: Sequence[str]) -> None:
    """Print rows below a header; each column is as wide as its widest cell."""
    cells = [[cell(row, column) for column in columns] for row in rows]
    header = [column.upper().replace('_', '-') for column in columns]
    widths = [
        max(len(row[index]) for row in (header, *cells))
        for index in range(len(columns))
    ]
    for line in (header, *cells):
        padded = (
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        )
        print('  '.join(padded).rstrip())


def show_fields(found: dict[str, Any]) -> None:
    """Print a mapping, one field on each line."""
    width = max((len(name) for name in found), default=0)
    for name in found:
        label = name.replace('_', '-').ljust(width)
        print(f'{label}  {cell(found, name)}'.rstrip())


def show(
    found: Any, columns: Sequence[str] = (), *, as_json: bool = False
) -> None:
    """Print a result as JSON, a table or fields; a failure ends the process."""
    if isinstance(found, Failure):
        fail(found)
    if as_json:
        show_json(found)
    elif isinstance(found, list):
        show_table(found, columns)
    else:
        show_fields(found)


def fail(failure: Failure) -> NoReturn:
    """Print a failure to standard error and exit with its exit code."""
    for line in failure_lines(failure):
        sys.stderr.write(f'berylspread: {line}\n')
    sys.exit(failure.exit_code)


def failure_lines(failure: Failure) -> list[str]:
    """Return the lines of a failure: one, or one for each of its errors."""
    head = f'[{failure.run_state.value}] {failure.name}'
    errors = failure.fields.get('errors')
    if not isinstance(errors, list) or not errors:
        return [f'{head}: {failure.reason}{_details(failure.fields)}']
    return [f'{head}: {_error_line(error)}' for error in errors]


def cell(row: dict[str, Any], column: str) -> str:
    """Return the text of one field of a row."""
    value = row.get(column)
    if column in SHAPE_FIELDS and isinstance(value, list):
        return shape_text(value)
    return _text(value)


def shape_text(shape: Sequence[int]) -> str:
    """Return resources as text: cores, GiB, accelerators and slots."""
    cpu_milli, memory_mib, accelerators, slots = shape
    return (
        f'{cpu_milli / MILLI_PER_CORE:g} cores'
        f' {memory_mib / MIB_PER_GIB:g} GiB'
        f' {accelerators} acc {slots} slots'
    )


def _error_line(error: Any) -> str:
    if not isinstance(error, dict):
        return str(error)
    fields = {name: error.get(name) for name in ERROR_FIELDS}
    return f'{error.get("reason") or error.get("message")}{_details(fields)}'


def _details(fields: dict[str, Any]) -> str:
    shown = ', '.join(
        f'{name}={_text(value)}'
        for name, value in fields.items()
        if value not in (None, '', [], {})
    )
    return f' ({shown})' if shown else ''


def _text(value: Any) -> str:
    return str(_FORMATTERS.get(type(value), str)(value))


_FORMATTERS: Final[dict[type[Any], Any]] = {
    type(None): lambda _nothing: '-',
    bool: lambda flag: 'yes' if flag else 'no',
    float: lambda number: f'{number:.3f}'.rstrip('0').rstrip('.'),
    list: lambda items: ','.join(_text(item) for item in items) or '-',
    dict: lambda pairs: (
        ','.join(f'{key}={_text(value)}' for key, value in pairs.items()) or '-'
    ),
}
