"""Keys of the admin API and of the fleet: a file that only its owner may read, with shared secrets, their owners and validity.

Keys are rotated with overlap: a new key is added for the person, and the old one gets an end of validity; until then both are
valid. The file is checked for changes at each request, so a withdrawn key is rejected from the next request on, also on open
connections.
"""

from __future__ import annotations

import base64
import secrets
from pathlib import Path

import msgspec

from winchdyke.durable_files import PrivateFileError, WatchedFile, read_private_file, write_private_file

MIN_SECRET_BYTES = 32
KEY_ID_SUFFIX_BYTES = 4


class KeyFileError(Exception):
    """A key file that can't be used; its text says what is wrong and what to do."""


class Key(msgspec.Struct, forbid_unknown_fields=True):
    """A person's shared secret, as it is stored.

    Attributes:
        id: The name of the key.
        secret: The secret in base64.
        who: The person.
        valid_from_ms: The Unix time from which it is valid.
        valid_until_ms: The Unix time until which it is valid; 0: without end.
    """

    id: str
    secret: str
    who: str
    valid_from_ms: float = msgspec.field(default=0.0, name="since_ms")
    valid_until_ms: float = msgspec.field(default=0.0, name="until_ms")

    def is_valid(self, now_ms: float) -> bool:
        """Return whether the key is valid at a Unix time."""
        return self.valid_from_ms <= now_ms and (not self.valid_until_ms or now_ms < self.valid_until_ms)

    def secret_bytes(self) -> bytes:
        """Return the decoded secret. Raises ValueError if it is not base64."""
        return base64.b64decode(self.secret, validate=True)


class _KeyFile(msgspec.Struct, forbid_unknown_fields=True):
    keys: list[Key]


def read_keys(path: Path) -> list[Key]:
    """Read a key file. Raises KeyFileError if others than its owner may read it, or if its content is not valid."""
    try:
        data = read_private_file(path)
    except PrivateFileError as error:
        raise KeyFileError(f"{error}; 'winchdyke keys new' creates one") from error
    try:
        keys = msgspec.json.decode(data, type=_KeyFile).keys
        if any(len(key.secret_bytes()) < MIN_SECRET_BYTES for key in keys):
            raise KeyFileError(f"{path}: a secret has fewer than {MIN_SECRET_BYTES} bytes; create a new key")
    except (msgspec.MsgspecError, ValueError) as error:
        raise KeyFileError(f"{path} is not a key file: {error}") from error
    if len({key.id for key in keys}) != len(keys):
        raise KeyFileError(f"{path}: two keys have the same id; withdraw one of them")
    return keys


def write_keys(path: Path, keys: list[Key]) -> None:
    """Replace a key file atomically; only its owner may read it. Raises KeyFileError."""
    try:
        write_private_file(path, msgspec.json.format(msgspec.json.encode(_KeyFile(keys)), indent=2) + b"\n")
    except PrivateFileError as error:
        raise KeyFileError(str(error)) from error


def create_key(who: str, now_ms: float, valid_until_ms: float = 0.0) -> Key:
    """Return a new key with a random secret, valid from ``now_ms`` on; ``valid_until_ms`` 0: without end."""
    secret = base64.b64encode(secrets.token_bytes(MIN_SECRET_BYTES)).decode()
    return Key(f"{who}-{secrets.token_hex(KEY_ID_SUFFIX_BYTES)}", secret, who, now_ms, valid_until_ms)


class KeyRing:
    """The keys in a file, read again when it changes."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._keys = WatchedFile(path, lambda path: {key.id: key for key in read_keys(path)})

    def valid_keys(self, now_ms: float) -> list[Key]:
        """Return all keys that are valid at a Unix time, in the file's order. Raises KeyFileError."""
        return [key for key in self._by_id().values() if key.is_valid(now_ms)]

    def find(self, key_id: str, now_ms: float) -> Key | None:
        """Return the key with an id if it is valid at a Unix time, else None. Raises KeyFileError; then no key is valid."""
        key = self._by_id().get(key_id)
        return key if key is not None and key.is_valid(now_ms) else None

    def _by_id(self) -> dict[str, Key]:
        try:
            return self._keys.get()
        except OSError as error:
            raise KeyFileError(f"{self.path} can't be read: {error.strerror}") from error
