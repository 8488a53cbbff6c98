"""Access keys of S3 clients: whose they are, what they may do, and their secrets, sealed.

A file that its owner alone may read holds them. Signatures need the secret itself, so it can't be hashed: it is encrypted (Fernet of
``cryptography``) with a master key from another such file, so that the file of keys alone gives nobody's away. Rotation is a second
key for the same person while the first one still counts. The file is looked at anew for each request.
"""

from __future__ import annotations

import secrets
from collections.abc import Iterable, Sequence
from fnmatch import fnmatchcase
from pathlib import Path

import msgspec
from cryptography.fernet import Fernet, InvalidToken, MultiFernet

from winchdyke.durable_files import PrivateFileError, WatchedFile, read_private_file, write_private_file

ACTIONS = ("list", "read", "write", "delete")


class AccessKeyFileError(Exception):
    """A file of access keys that can't be used; says what is wrong and what to do."""


class Right(msgspec.Struct, forbid_unknown_fields=True):
    """What a key may do with objects whose volume fits a pattern and whose key begins so."""

    volume: str
    prefix: str = ""
    allow: list[str] = []


class AccessKey(msgspec.Struct, forbid_unknown_fields=True):
    """A key; times in Unix ms, 0: none."""

    id: str
    sealed: str
    who: str
    rights: list[Right] = []
    since_ms: float = 0.0
    until_ms: float = 0.0

    def is_valid(self, now_ms: float) -> bool:
        """Whether it counts now."""
        return self.since_ms <= now_ms and (not self.until_ms or now_ms < self.until_ms)


class _File(msgspec.Struct, forbid_unknown_fields=True):
    keys: list[AccessKey]


def is_allowed(rights: Iterable[Right], action: str, volume: str, name: str = "") -> bool:
    """Whether rights let an action be done with an object, or a listing with what all its keys begin with. Pure."""
    return any(
        action in right.allow and fnmatchcase(volume, right.volume) and name.startswith(right.prefix)
        for right in rights
    )


def has_rights_in(rights: Iterable[Right], volume: str) -> bool:
    """Whether rights let anything be done in a volume. Pure."""
    return any(fnmatchcase(volume, right.volume) for right in rights)


def add_master_key(path: Path) -> None:
    """Make a file with a master key, or put a new one in front of those that are there."""
    old = read_master_keys(path) if path.exists() else []
    _write(path, b"\n".join([Fernet.generate_key(), *old]) + b"\n")


def read_master_keys(path: Path) -> list[bytes]:
    """The master keys in a file, the newest first."""
    try:
        lines = [line.strip() for line in read_private_file(path).splitlines() if line.strip()]
        for line in lines:
            Fernet(line)
    except PrivateFileError as error:
        raise AccessKeyFileError(f"{error}; 'winchdyke access master' makes such a file") from error
    except ValueError as error:
        raise AccessKeyFileError(f"{path} holds something else than master keys: {error}") from error
    if not lines:
        raise AccessKeyFileError(f"{path} holds no master key; 'winchdyke access master' makes one")
    return lines


def _box(master: Path) -> MultiFernet:
    return MultiFernet([Fernet(line) for line in read_master_keys(master)])


def _write(path: Path, data: bytes) -> None:
    try:
        write_private_file(path, data)
    except PrivateFileError as error:
        raise AccessKeyFileError(str(error)) from error


def read_keys(path: Path) -> list[AccessKey]:
    """The keys in a file, their secrets sealed. Raises AccessKeyFileError."""
    try:
        keys = msgspec.json.decode(read_private_file(path), type=_File).keys
    except PrivateFileError as error:
        raise AccessKeyFileError(f"{error}; 'winchdyke access new' makes such a file") from error
    except msgspec.MsgspecError as error:
        raise AccessKeyFileError(f"{path} is no file of access keys: {error}") from error
    if len({key.id for key in keys}) != len(keys):
        raise AccessKeyFileError(f"{path}: two keys have one id; withdraw one of them")
    if wrong := [
        action for key in keys for right in key.rights for action in right.allow if action not in ACTIONS
    ]:
        raise AccessKeyFileError(f"{path}: there is no action {wrong[0]!r}; there is {', '.join(ACTIONS)}")
    return keys


def write_keys(path: Path, keys: Sequence[AccessKey]) -> None:
    """Write a file of keys whole."""
    _write(path, msgspec.json.format(msgspec.json.encode(_File(list(keys))), indent=2) + b"\n")


def create_key(
    who: str, rights: list[Right], master: Path, now_ms: float, until_ms: float = 0.0
) -> tuple[AccessKey, str]:
    """A new key, and its secret, which is shown once."""
    secret = secrets.token_urlsafe(30)
    sealed = _box(master).encrypt(secret.encode()).decode()
    return AccessKey("WD" + secrets.token_hex(9).upper(), sealed, who, rights, now_ms, until_ms), secret


def reseal_keys(keys: Iterable[AccessKey], master: Path) -> list[AccessKey]:
    """The same keys, sealed with the newest master key."""
    box = _box(master)
    try:
        return [msgspec.structs.replace(key, sealed=box.rotate(key.sealed.encode()).decode()) for key in keys]
    except InvalidToken as error:
        raise AccessKeyFileError("a key was sealed with a master key that is not there") from error


class AccessKeyRing:
    """The keys that count, with their secrets open; both files are read anew when they change."""

    def __init__(self, path: Path, master: Path) -> None:
        self.path, self.master = path, master
        self._keys = WatchedFile(path, self._open)
        self._masters = WatchedFile(master, lambda path: read_master_keys(path))
        self._lines: list[bytes] = []

    def _open(self, path: Path) -> dict[str, tuple[AccessKey, str]]:
        box = _box(self.master)
        found = {}
        for key in read_keys(path):
            try:
                found[key.id] = key, box.decrypt(key.sealed.encode()).decode()
            except InvalidToken as error:
                raise AccessKeyFileError(
                    f"{path}: key {key.id} was sealed with another master key than those in {self.master}"
                ) from error
        return found

    def find(self, name: str, now_ms: float) -> tuple[AccessKey, str] | None:
        """A key that counts now, and its secret. AccessKeyFileError where a file can't be used: then nobody's does."""
        try:
            lines = self._masters.get()
            if lines != self._lines:
                self._lines, self._keys = lines, WatchedFile(self.path, self._open)
            found = self._keys.get().get(name)
        except OSError as error:
            raise AccessKeyFileError(
                f"{self.path} or {self.master} can't be read: {error.strerror}"
            ) from error
        return found if found is not None and found[0].is_valid(now_ms) else None
