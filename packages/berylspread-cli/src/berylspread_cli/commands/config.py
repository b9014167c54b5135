"""``berylspread config``: the configuration document of an environment."""

import getpass
import re
import sys
from pathlib import Path
from typing import Any, Final, final

from berylspread.kernel.errors import Failure, InvalidInput
from berylspread_cli.client import Client
from berylspread_cli.output import fail, show, show_fields, show_table
from berylspread_cli.texts import texts

PRODUCTION: Final = 'production'
VERSION_LINE: Final = re.compile(r'^# version: (\d+)$', re.MULTILINE)
UNSET: Final = -1


@final
class ConfigCommands:
    """Check, compare, apply and promote documents."""

    def __init__(self, client: Client) -> None:
        self._client = client

    @texts('environment')
    def show(
        self, environment: str = PRODUCTION, *, json: bool = False
    ) -> None:
        """Print the document in force below a line with its version.

        The output can be edited and applied; ``config apply`` reads the base
        version from that line.
        """
        response = self._client.get(_path(environment))
        if json or isinstance(response, Failure):
            show(response, as_json=json)
            return
        print(f'# version: {response["version"]}')
        print(response['text'].rstrip())

    @texts('file', 'environment')
    def check(
        self,
        file: str,
        environment: str = PRODUCTION,
        *,
        force: bool = False,
        json: bool = False,
    ) -> None:
        """Check a document; print its warnings, or fail with all its errors."""
        response = self._client.post(
            _path(environment, 'check'), {'text': _read(file), 'force': force}
        )
        show(response, as_json=json)

    @texts('file', 'environment')
    def diff(
        self, file: str, environment: str = PRODUCTION, *, json: bool = False
    ) -> None:
        """Print what a document changes and its effects on recorded demand."""
        response = self._client.post(
            _path(environment, 'diff'), {'text': _read(file)}
        )
        if json or isinstance(response, Failure):
            show(response, as_json=json)
            return
        show_table(
            response['changes'], ('section', 'option', 'before', 'after')
        )
        for kind, effects in response['effects'].items():
            for effect in effects:
                print(f'\n{kind}:')
                show_fields(effect)

    @texts('file', 'environment', 'note', 'author')
    def apply(
        self,
        file: str,
        environment: str = PRODUCTION,
        *,
        base: int = UNSET,
        note: str = '',
        author: str = '',
        force: bool = False,
        json: bool = False,
    ) -> None:
        """Put a document in force if its base version is still in force.

        Args:
            file: The document; ``-`` reads the standard input.
            environment: ``trial`` or ``production``.
            base: The version that the document was made from, 0 for the first
                document; by default the version in its first line, as
                ``config show`` prints it.
            note: Reason for the change, for the history.
            author: Author of the change; by default the user's login name.
            force: Allow limits below the running work; the excess is preempted.
            json: Print JSON.

        """
        text = _read(file)
        response = self._client.post(
            _path(environment, 'apply'),
            {
                'text': text,
                'base': _base(text, base),
                'note': note,
                'author': author or getpass.getuser(),
                'force': force,
            },
        )
        show(response, as_json=json)

    @texts('note', 'author')
    def promote(
        self,
        trial_version: int = UNSET,
        base: int = UNSET,
        *,
        note: str = '',
        author: str = '',
        json: bool = False,
    ) -> None:
        """Put the trial document in force in production.

        Args:
            trial_version: The trial version that was reviewed; by default the
                one in force.
            base: The production version to replace; by default the one in
                force.
            note: Reason for the change, for the history.
            author: Author of the change; by default the user's login name.
            json: Print JSON.

        """
        response = self._client.post(
            '/v1/admin/promote',
            {
                'trial_version': self._version('trial', trial_version),
                'base': self._version(PRODUCTION, base),
                'note': note,
                'author': author or getpass.getuser(),
            },
        )
        show(response, as_json=json)

    @texts('environment')
    def history(
        self, environment: str = PRODUCTION, *, json: bool = False
    ) -> None:
        """List the stored versions, oldest first."""
        show(
            self._client.get(_path(environment, 'history')),
            ('version', 'author', 'applied_at', 'note'),
            as_json=json,
        )

    @texts('environment')
    def status(
        self, environment: str = PRODUCTION, *, json: bool = False
    ) -> None:
        """Print the version in force on each node; -1 means no reply."""
        show(
            self._client.get(_path(environment, 'status')),
            ('node', 'version', 'log_offset'),
            as_json=json,
        )

    def _version(self, environment: str, given: int) -> Any:
        if given != UNSET:
            return given
        response = self._client.get(_path(environment))
        if isinstance(response, Failure):
            fail(response)
        return response['version']


def _path(environment: str, *rest: str) -> str:
    return '/'.join(('/v1/admin/config', environment, *rest))


def _base(text: str, given: int) -> int:
    if given != UNSET:
        return given
    version_line = VERSION_LINE.match(text)
    if version_line is None:
        fail(
            InvalidInput(
                'the document does not state which version it was made from;'
                ' pass --base, 0 for the first document'
            )
        )
    return int(version_line.group(1))


def _read(file: str) -> str:
    try:
        if file == '-':
            return sys.stdin.read()
        return Path(file).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        fail(InvalidInput(f'{file}: {error}'))
