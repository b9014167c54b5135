"""``berylspread trace`` and ``berylspread report``: commands about logs."""

import importlib
from pathlib import Path
from typing import Any, Final

import msgspec

from berylspread.kernel.errors import InvalidInput, UnknownName
from berylspread_cli.logs import (
    LogLine,
    LogReader,
    count_lines,
    find_takeovers,
    find_trail,
)
from berylspread_cli.output import fail, show_json, show_table

TRAIL_COLUMNS: Final = ('time_s', 'node', 'event', 'repeated', 'about')
TAKEOVER_COLUMNS: Final = (
    'epoch',
    'node',
    'time_s',
    'claimed_s',
    'loaded_s',
    'load_s',
    'first_start_s',
    'jobs',
)


def show_trail(wanted: str, names: tuple[str, ...], *, as_json: bool) -> None:
    """Print the decisions that touched an id, and the cause of its outcome."""
    reader = _read(names)
    trail = find_trail(reader.lines, wanted)
    if trail is None:
        fail(
            UnknownName(
                f'no line names {wanted!r}',
                lines=len(reader.lines),
                others=reader.others,
            )
        )
    began_at = trail.lines[0].at
    rows = [_trail_row(line, count, began_at) for line, count in trail.rows()]
    if as_json:
        show_json(
            {'lines': rows, 'cause': trail.cause, 'others': reader.others}
        )
        return
    show_table(rows, TRAIL_COLUMNS)
    print(f'\n{trail.cause}')
    _print_others(reader)


def write_report(names: tuple[str, ...], output: str, *, as_json: bool) -> None:
    """Write the page of a day, and print its changes of the coordinator."""
    reader = _read(names)
    if not reader.lines:
        fail(InvalidInput('the logs have no line of a node'))
    # The plotting library loads slowly, and only this command needs it.
    page = importlib.import_module('berylspread_cli.logs.page')
    try:
        page.write_page(count_lines(reader.lines), Path(output))
    except OSError as error:
        fail(InvalidInput(f'cannot write {output}: {error}'))
    began_at = reader.lines[0].at
    rows = [
        msgspec.structs.asdict(takeover)
        | {'time_s': round(takeover.at - began_at, 3)}
        for takeover in find_takeovers(reader.lines)
    ]
    if as_json:
        show_json({'takeovers': rows, 'others': reader.others})
        return
    show_table(rows, TAKEOVER_COLUMNS)
    _print_others(reader)


def _read(names: tuple[str, ...]) -> LogReader:
    reader = LogReader()
    try:
        reader.read_files(names)
    except OSError as error:
        fail(InvalidInput(f'cannot read the logs: {error}'))
    return reader


def _trail_row(line: LogLine, count: int, began_at: float) -> dict[str, Any]:
    return {
        'time_s': round(line.at - began_at, 3),
        'node': line.node,
        'event': line.event,
        'repeated': count if count > 1 else '',
        'about': ' '.join(
            f'{name}={value}' for name, value in line.fields.items()
        ),
    }


def _print_others(reader: LogReader) -> None:
    print(
        f'{len(reader.lines)} lines of nodes read, {reader.others} others'
        ' passed over'
    )
