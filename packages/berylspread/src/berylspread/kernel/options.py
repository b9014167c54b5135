"""Typed options: section classes that parse and check the values of INI files.

A section class declares its options as class attributes.  ``parse_section``
parses a mapping of strings and returns an instance or the first
``InvalidInput``; ``read_section`` collects every error.
"""

import math
from collections.abc import Callable, Mapping
from typing import Any, Final, Generic, Self, TypeVar, final, overload

from berylspread.kernel.errors import InvalidInput
from berylspread.kernel.registry import nearest

ValueT = TypeVar('ValueT')
SectionT = TypeVar('SectionT', bound='Section')

TRUE_WORDS: Final = frozenset(('yes', 'true', 'on', '1'))
FALSE_WORDS: Final = frozenset(('no', 'false', 'off', '0'))


class Option(Generic[ValueT]):
    """An option: how its text is parsed, its default, its allowed values."""

    __slots__ = ('allowed', 'attribute', 'default', 'help', 'key', 'read')

    def __init__(
        self,
        read: Callable[[str], ValueT],
        *,
        default: ValueT | None = None,
        allowed: str = 'text',
        help: str = '',
        key: str = '',
    ) -> None:
        """Define an option; without a default, it is required.

        ``read`` converts the text and raises ``ValueError`` if it is invalid.
        ``allowed`` describes the valid values in error messages.  ``key`` is
        the option's name in the file if it differs from the attribute's.
        """
        self.read = read
        self.default = default
        self.allowed = allowed
        self.help = help
        self.key = key
        self.attribute = ''

    def __set_name__(self, owner: type, name: str) -> None:
        """Store the attribute's name, which is also the default key."""
        self.attribute = name
        self.key = self.key or name

    @overload
    def __get__(self, section: None, owner: type) -> Self: ...

    @overload
    def __get__(self, section: 'Section', owner: type) -> ValueT: ...

    def __get__(self, section: 'Section | None', owner: type) -> Any:
        """Return the option for a class and its default for an instance."""
        return self if section is None else self.default


def integer(
    minimum: int, maximum: int, *, default: int | None = None, help: str = ''
) -> Option[int]:
    """Return an option for a whole number in a closed range."""
    return Option(
        _range_reader(int, minimum, maximum),
        default=default,
        allowed=f'a whole number from {minimum} to {maximum}',
        help=help,
    )


def number(
    minimum: float,
    maximum: float,
    *,
    default: float | None = None,
    help: str = '',
) -> Option[float]:
    """Return an option for a finite number in a closed range."""
    return Option(
        _range_reader(float, minimum, maximum),
        default=default,
        allowed=f'a number from {minimum} to {maximum}',
        help=help,
    )


def text(*, default: str | None = None, help: str = '') -> Option[str]:
    """Return an option for non-empty text."""
    return Option(_read_non_empty, default=default, help=help)


def choice(
    *words: str, default: str | None = None, help: str = '', key: str = ''
) -> Option[str]:
    """Return an option for one of the given words."""

    def read(raw: str) -> str:
        if raw not in words:
            raise ValueError(raw)
        return raw

    return Option(
        read,
        default=default,
        allowed=f'one of {", ".join(words)}',
        help=help,
        key=key,
    )


def flag(*, default: bool | None = None, help: str = '') -> Option[bool]:
    """Return an option for yes or no."""
    return Option(_read_flag, default=default, allowed='yes or no', help=help)


def words(
    *, default: tuple[str, ...] | None = None, help: str = ''
) -> Option[tuple[str, ...]]:
    """Return an option for words separated by commas or spaces."""

    def read(raw: str) -> tuple[str, ...]:
        return tuple(raw.replace(',', ' ').split())

    return Option(read, default=default, allowed='a list of words', help=help)


class Section:
    """Base class of sections; subclasses declare the options.

    The values are set as attributes of the instance.  ``label`` is the part of
    the section's header after the kind, such as ``proofs`` in
    ``[team proofs]``.
    """

    kind: str = ''

    def __init__(self, label: str = '') -> None:
        """Set the label; ``parse_section`` sets the values."""
        self.label = label

    @classmethod
    def options(cls) -> dict[str, Option[Any]]:
        """Return the options by key, those of base classes first."""
        found = _options_by_class.get(cls)
        if found is None:
            found = _collect_options(cls)
            _options_by_class[cls] = found
        return found


_options_by_class: Final[dict[type[Section], dict[str, Option[Any]]]] = {}


def _collect_options(cls: type[Section]) -> dict[str, Option[Any]]:
    found: dict[str, Option[Any]] = {}
    for base in reversed(cls.__mro__):
        found.update(
            {
                option.key: option
                for option in vars(base).values()
                if isinstance(option, Option)
            }
        )
    return found


@final
class SectionLocation:
    """The file or document of a section, and the section's header."""

    __slots__ = ('section', 'source')

    def __init__(self, source: str, section: str) -> None:
        """Store the names, which are used in error messages."""
        self.source = source
        self.section = section


def parse_section(
    cls: type[SectionT],
    location: SectionLocation,
    label: str,
    raw: Mapping[str, str],
) -> SectionT | InvalidInput:
    """Return the parsed section, or the error of the first invalid option."""
    errors: list[InvalidInput] = []
    section = read_section(cls, location, label, raw, errors)
    return errors[0] if errors else section


def read_section(
    cls: type[SectionT],
    location: SectionLocation,
    label: str,
    raw: Mapping[str, str],
    errors: list[InvalidInput],
) -> SectionT:
    """Return the parsed section and append the error of each invalid option.

    An invalid option keeps its default; it is ``None`` if it is required.
    """
    options = cls.options()
    errors.extend(
        _invalid(location, key, 'unknown option', nearest=nearest(key, options))
        for key in raw
        if key not in options
    )
    section = cls(label)
    for key, option in options.items():
        value = _read_value(option, location, raw.get(key))
        if isinstance(value, InvalidInput):
            errors.append(value)
        else:
            setattr(section, option.attribute, value)
    return section


def _read_value(
    option: Option[Any], location: SectionLocation, raw: str | None
) -> Any:
    if raw is None:
        if option.default is None:
            return _invalid(
                location, option.key, 'missing option', allowed=option.allowed
            )
        return option.default
    try:
        return option.read(raw.strip())
    except ValueError:
        return _invalid(
            location,
            option.key,
            f'{raw!r} is not {option.allowed}',
            allowed=option.allowed,
        )


def _invalid(
    location: SectionLocation, option: str, problem: str, **fields: Any
) -> InvalidInput:
    return InvalidInput(
        f'{location.source}: [{location.section}] {option}: {problem}',
        source=location.source,
        section=location.section,
        option=option,
        **fields,
    )


NumberT = TypeVar('NumberT', int, float)


def _range_reader(
    convert: Callable[[str], NumberT], minimum: NumberT, maximum: NumberT
) -> Callable[[str], NumberT]:
    def read(raw: str) -> NumberT:
        value = convert(raw)
        if not math.isfinite(value) or not minimum <= value <= maximum:
            raise ValueError(raw)
        return value

    return read


def _read_non_empty(raw: str) -> str:
    if not raw:
        raise ValueError(raw)
    return raw


def _read_flag(raw: str) -> bool:
    word = raw.lower()
    if word in TRUE_WORDS:
        return True
    if word in FALSE_WORDS:
        return False
    raise ValueError(raw)
