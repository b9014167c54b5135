"""Keys of the teams: how they are made and checked.

The secret has 256 random bits, so it cannot be found from its SHA-256 digest by
brute force.  A slow password hash would only add time to each request.
"""

import hashlib
import hmac
import secrets
from typing import Final, final

import msgspec

from berylspread.kernel.errors import Unauthenticated
from berylspread.log.folds import KeyFold
from berylspread.log.records import KeyCreated

KEY_PREFIX: Final = 'bsk'
KEY_ID_BYTES: Final = 8
SECRET_BYTES: Final = 32
MAX_KEY_CHARACTERS: Final = 200
_PLACEHOLDER_DIGEST: Final = bytes(SECRET_BYTES)


@final
class NewKey(msgspec.Struct, frozen=True):
    """The text of a new key, which is shown once, and the record of the key."""

    text: str
    record: KeyCreated


def make_key(team: str, label: str, created_at: float) -> NewKey:
    """Make a key for a team; ``created_at`` is seconds since the epoch."""
    key_id = secrets.token_hex(KEY_ID_BYTES)
    secret = secrets.token_hex(SECRET_BYTES)
    return NewKey(
        f'{KEY_PREFIX}_{key_id}_{secret}',
        KeyCreated(key_id, team, digest_secret(secret), label, created_at),
    )


def digest_secret(secret: str) -> bytes:
    """Return the digest that the log stores instead of a secret."""
    return hashlib.sha256(secret.encode()).digest()


def check_key(keys: KeyFold, text: str) -> str | Unauthenticated:
    """Return the team of a valid key, or a failure.

    The time that the check takes does not reveal why a key is refused.
    """
    prefix, key_id, secret = _split_key(text)
    key = keys.find_key(key_id)
    digest = key.digest if key else _PLACEHOLDER_DIGEST
    is_equal = hmac.compare_digest(digest_secret(secret), digest)
    is_active = key is not None and key.withdrawn_at is None
    if key is None or not (is_equal and is_active and prefix == KEY_PREFIX):
        return Unauthenticated('the key is unknown or was withdrawn')
    return key.team


def _split_key(text: str) -> tuple[str, str, str]:
    prefix, _, rest = text[:MAX_KEY_CHARACTERS].partition('_')
    key_id, _, secret = rest.partition('_')
    return prefix, key_id, secret
