"""The source trees that the programs of a fleet are started from."""

import os
from pathlib import Path
from typing import Final, final

SOURCES: Final = ('packages/*/src', 'platform/src')
#: What every tree of the program has.
PROGRAM: Final = 'platform/src/berylspread_platform/__main__.py'
#: The program on the soak's own path.
PRESENT: Final = ''


@final
class Programs:
    """The present program, or two that take turns with each start of a node.

    Nodes that are next to each other begin with different ones.
    """

    __slots__ = ('trees',)

    def __init__(
        self, other: str = PRESENT, *, is_other_first: bool = False
    ) -> None:
        """Take the root of another source tree, if there is one.

        Raises ``ValueError`` for a folder without the program.
        """
        self.trees: tuple[str, ...] = (PRESENT,)
        if other:
            if not Path(other, PROGRAM).is_file():
                raise ValueError(f'no {PROGRAM} in {other}')
            self.trees = (PRESENT, str(Path(other).resolve()))
        if is_other_first:
            self.trees = tuple(reversed(self.trees))

    def choose(self, index: int, starts: int) -> str:
        """Return the tree for a node that has had a number of starts."""
        return self.trees[(index + starts) % len(self.trees)]


def search_path(tree: str) -> str:
    """Return the path on which Python finds the modules of a tree."""
    if not tree:
        return os.environ.get('PYTHONPATH', '')
    folders = (
        str(folder)
        for pattern in SOURCES
        for folder in sorted(Path(tree).glob(pattern))
    )
    return os.pathsep.join(folders)
