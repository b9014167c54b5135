"""Arguments that stay text; Fire reads others as Python literals."""

from collections.abc import Callable
from typing import Any, TypeVar, cast

from fire import decorators

CommandT = TypeVar('CommandT', bound=Callable[..., Any])

# Fire lists a command's attributes in its help unless they are private.
decorators.FIRE_METADATA = '_fire_metadata'


def texts(*names: str) -> Callable[[CommandT], CommandT]:
    """Take these arguments of a command as they are written; a decorator."""
    decorate = decorators.SetParseFns(**dict.fromkeys(names, str))
    return cast('Callable[[CommandT], CommandT]', decorate)
