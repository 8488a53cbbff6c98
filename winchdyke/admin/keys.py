"""Keys of the admin API: a file that its owner alone may read, with shared secrets, whose they are, and from when till when.

Rotation with overlap: a person's new key is added, and the old one given an end; both are good until then. The file is looked at
anew for each request, so a key that is withdrawn is refused from the next request on, on connections that are open as well.
"""

from __future__ import annotations

import base64
import os
import secrets
import stat
from pathlib import Path

import msgspec

from winchdyke.files import sync_folder

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
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        with open(descriptor, "rb") as file:
            found = os.fstat(descriptor)
            data = file.read(1 << 20)
    except OSError as error:
        raise KeysError(
            f"{path} can't be read: {error.strerror}; 'winchdyke keys new' makes such a file"
        ) from error
    if not stat.S_ISREG(found.st_mode) or found.st_mode & 0o077 or found.st_uid not in (os.geteuid(), 0):
        raise KeysError(f"{path} must be a file that its owner alone may read and write: chmod 600 {path}")
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
    new = path.with_name(path.name + f".{os.getpid()}.new")
    try:
        descriptor = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        with open(descriptor, "wb") as file:
            file.write(msgspec.json.format(msgspec.json.encode(_File(keys)), indent=2) + b"\n")
            file.flush()
            os.fsync(file.fileno())
        new.replace(path)
        sync_folder(path.parent)
    except OSError as error:
        raise KeysError(f"{path} can't be written: {error.strerror}") from error


def made(who: str, now_ms: float, until_ms: float = 0.0) -> Key:
    """A new key, drawn from the system's source of secrets."""
    secret = base64.b64encode(secrets.token_bytes(SECRET_BYTES)).decode()
    return Key(f"{who}-{secrets.token_hex(4)}", secret, who, now_ms, until_ms)


class Ring:
    """The keys in a file, read anew when it changes."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._stamp: tuple[int, ...] = ()
        self._keys: dict[str, Key] = {}

    def find(self, name: str, now_ms: float) -> Key | None:
        """The key of an id that counts now. KeysError where the file can't be used: then nobody's does."""
        try:
            found = self.path.stat()
        except OSError as error:
            raise KeysError(f"{self.path} can't be read: {error.strerror}") from error
        stamp = (found.st_mtime_ns, found.st_ino, found.st_size, found.st_mode, found.st_uid)
        if stamp != self._stamp:
            self._keys, self._stamp = {}, ()
            self._keys = {key.id: key for key in read(self.path)}
            self._stamp = stamp
        key = self._keys.get(name)
        return key if key is not None and key.good(now_ms) else None
