"""Arguments that stay strings; Fire parses others as Python literals."""

from collections.abc import Callable
from typing import Any, TypeVar, cast

from fire import decorators

CommandT = TypeVar('CommandT', bound=Callable[..., Any])

# Fire lists the public attributes of a command in its help, so the attribute
# that Fire sets on a command gets a private name.
decorators.FIRE_METADATA = '_fire_metadata'


def texts(*names: str) -> Callable[[CommandT], CommandT]:
    """Return a decorator that passes these arguments on as strings."""
    decorate = decorators.SetParseFns(**dict.fromkeys(names, str))
    return cast('Callable[[CommandT], CommandT]', decorate)
