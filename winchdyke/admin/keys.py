"""Keys of the admin API: a file that its owner alone may read, with shared secrets, whose they are, and from when till when.

Rotation with overlap: a person's new key is added, and the old one given an end; both are good until then. The file is looked at
anew for each request, so a key that is withdrawn is refused from the next request on, on connections that are open as well.
"""

from __future__ import annotations

import base64
import secrets
from pathlib import Path

import msgspec

from winchdyke.durable_files import PrivateFileError, WatchedFile, read_private_file, write_private_file

SECRET_BYTES = 32


class KeysError(Exception):
    """A file of keys that can't be used; says what is wrong and what to do."""


class Key(msgspec.Struct, forbid_unknown_fields=True):
    """A shared secret (base64) of a person; times in Unix ms, 0: none."""

    id: str
    secret: str
    who: str
    since_ms: float = 0.0
    until_ms: float = 0.0

    def good(self, now_ms: float) -> bool:
        """Whether it counts now."""
        return self.since_ms <= now_ms and (not self.until_ms or now_ms < self.until_ms)

    def raw(self) -> bytes:
        """The secret's bytes."""
        return base64.b64decode(self.secret, validate=True)


class _File(msgspec.Struct, forbid_unknown_fields=True):
    keys: list[Key]


def read(path: Path) -> list[Key]:
    """The keys in a file. KeysError where others than its owner may read it, or it holds something else."""
    try:
        data = read_private_file(path)
    except PrivateFileError as error:
        raise KeysError(f"{error}; 'winchdyke keys new' makes such a file") from error
    try:
        keys = msgspec.json.decode(data, type=_File).keys
        if any(len(key.raw()) < SECRET_BYTES for key in keys):
            raise KeysError(f"{path}: a secret has fewer than {SECRET_BYTES} bytes; make another key")
    except (msgspec.MsgspecError, ValueError) as error:
        raise KeysError(f"{path} is no file of keys: {error}") from error
    if len({key.id for key in keys}) != len(keys):
        raise KeysError(f"{path}: two keys have one id; withdraw one of them")
    return keys


def write(path: Path, keys: list[Key]) -> None:
    """Write a file of keys whole: it is never seen half written, nor readable to others."""
    try:
        write_private_file(path, msgspec.json.format(msgspec.json.encode(_File(keys)), indent=2) + b"\n")
    except PrivateFileError as error:
        raise KeysError(str(error)) from error


def made(who: str, now_ms: float, until_ms: float = 0.0) -> Key:
    """A new key, drawn from the system's source of secrets."""
    secret = base64.b64encode(secrets.token_bytes(SECRET_BYTES)).decode()
    return Key(f"{who}-{secrets.token_hex(4)}", secret, who, now_ms, until_ms)


class Ring:
    """The keys in a file, read anew when it changes."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._keys = WatchedFile(path, lambda path: {key.id: key for key in read(path)})

    def good(self, now_ms: float) -> list[Key]:
        """All keys that count now, in the file's order. KeysError where the file can't be used."""
        try:
            return [key for key in self._keys.get().values() if key.good(now_ms)]
        except OSError as error:
            raise KeysError(f"{self.path} can't be read: {error.strerror}") from error

    def find(self, name: str, now_ms: float) -> Key | None:
        """The key of an id that counts now. KeysError where the file can't be used: then nobody's does."""
        try:
            key = self._keys.get().get(name)
        except OSError as error:
            raise KeysError(f"{self.path} can't be read: {error.strerror}") from error
        return key if key is not None and key.good(now_ms) else None
