"""Kinds of options that only the daemon's settings use."""

import ipaddress
import re
from typing import Final

from berylspread.kernel.options import Option

MAX_PORT: Final = 65_535
NAME_PATTERN: Final = re.compile('[a-z0-9][a-z0-9._-]{0,62}')
DIGEST_PATTERN: Final = re.compile('[0-9a-fA-F]{64}')


def address(*, default: str | None = None, help: str = '') -> Option[str]:
    """Return an option for an IP address with a port."""
    return Option(
        _read_address,
        default=default,
        allowed=f'IP:PORT with a port from 0 to {MAX_PORT}',
        help=help,
    )


def url(*, help: str = '') -> Option[str]:
    """Return an option for the base URL of an HTTP service."""
    return Option(_read_url, allowed='a URL as http://10.0.0.1:8080', help=help)


def identifier(*, help: str = '') -> Option[str]:
    """Return an option for the name of a node, region or zone."""
    return Option(
        _read_name,
        allowed='1 to 63 of a-z, 0-9, dot, underscore and hyphen',
        help=help,
    )


def digests(*, help: str = '') -> Option[tuple[str, ...]]:
    """Return an option for a list of SHA-256 digests."""
    return Option(
        _read_digests,
        default=(),
        allowed='SHA-256 digests of 64 hexadecimal digits each',
        help=help,
    )


def _read_address(raw: str) -> str:
    host, _, port = raw.rpartition(':')
    ipaddress.ip_address(host.strip('[]'))
    if not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(raw)
    return raw


def _read_url(raw: str) -> str:
    if not raw.startswith(('http://', 'https://')):
        raise ValueError(raw)
    return raw.rstrip('/')


def _read_name(raw: str) -> str:
    if not NAME_PATTERN.fullmatch(raw):
        raise ValueError(raw)
    return raw


def _read_digests(raw: str) -> tuple[str, ...]:
    found = tuple(raw.replace(',', ' ').split())
    if not all(DIGEST_PATTERN.fullmatch(digest) for digest in found):
        raise ValueError(raw)
    return found
