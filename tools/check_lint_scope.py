"""Check that the linters skip generated protobuf code and nothing else.

Each linter runs on copies of the same faulty text under generated names and
under an ordinary one.  It must skip the former and report the latter.
"""

import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FAULTY_TEXT = 'import os\nx=1\n'
GENERATED = ('sample_pb2.py', 'sample_pb2_grpc.py')
ORDINARY = 'sample.py'
LINTERS = {
    'ruff format': (
        *('ruff', 'format', '--check', '--no-cache'),
        *('--config', str(ROOT / 'pyproject.toml')),
    ),
    'ruff check': (
        *('ruff', 'check', '--no-cache'),
        *('--config', str(ROOT / 'pyproject.toml')),
    ),
    'flake8': ('flake8', '--config', str(ROOT / 'setup.cfg')),
}


def has_findings(command: tuple[str, ...], path: Path) -> bool:
    """Return whether a linter reports anything on a file."""
    completed = subprocess.run(
        (sys.executable, '-m', *command, str(path)),
        cwd=path.parent,
        capture_output=True,
        check=False,
    )
    return completed.returncode != 0


def find_errors(folder: Path) -> list[str]:
    """Return an error for each file that a linter treats wrongly."""
    errors: list[str] = []
    for name in (*GENERATED, ORDINARY):
        path = folder / name
        path.write_text(FAULTY_TEXT, encoding='utf-8')
        expected = name == ORDINARY
        errors.extend(
            f'{linter}: wrong result on {name}'
            for linter, command in LINTERS.items()
            if has_findings(command, path) != expected
        )
    return errors


def main() -> int:
    """Print the errors and return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        errors = find_errors(Path(folder))
    for error in errors:
        print(error)
    return 1 if errors else 0


if __name__ == '__main__':
    sys.exit(main())
