"""The base class of the folds, and the decorator of their handlers."""

from collections.abc import Callable
from typing import Any, ClassVar, Final, TypeVar, final

import msgspec

HandlerT = TypeVar('HandlerT', bound=Callable[..., None])
HANDLED_TYPE_ATTRIBUTE: Final = '_handles'


@final
class Context(msgspec.Struct, frozen=True):
    """The position in the log of the record that is being applied.

    ``log_time`` is the latest append time so far, in seconds since the
    epoch by the store's clock; it is the same on every node.
    """

    offset: int
    log_time: float


def handles(record_type: type[Any]) -> Callable[[HandlerT], HandlerT]:
    """Mark a method as the handler of a record type; a decorator."""

    def mark(method: HandlerT) -> HandlerT:
        setattr(method, HANDLED_TYPE_ATTRIBUTE, record_type)
        return method

    return mark


class Fold:
    """Base class of one part of the state.

    A handler must depend only on the state so far, the record and its context,
    so that every node computes the same state.
    """

    __slots__ = ()

    handlers: ClassVar[dict[type[Any], str]] = {}

    def __init_subclass__(cls) -> None:
        """Fill the table of handlers from the marked methods."""
        cls.handlers = {
            getattr(method, HANDLED_TYPE_ATTRIBUTE): name
            for name, method in vars(cls).items()
            if hasattr(method, HANDLED_TYPE_ATTRIBUTE)
        }
