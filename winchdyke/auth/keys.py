"""Access keys of S3 clients: their owners, their rights and their sealed secrets.

The keys are in a file that only its owner may read. Verifying a signature needs the secret itself, so it can't be hashed: it is
encrypted (Fernet of ``cryptography``) with a master key from another such file, so that the key file alone reveals no secret. A key
is rotated by adding a second key for the same person while the first one is still valid. The file is checked for changes at each
request.
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
    """A file of access keys or master keys that can't be used; its text says what is wrong and what to do."""


class Right(msgspec.Struct, forbid_unknown_fields=True):
    """The actions that a key allows on objects whose volume matches a pattern and whose key has a prefix."""

    volume: str
    prefix: str = ""
    allow: list[str] = []


class AccessKey(msgspec.Struct, forbid_unknown_fields=True):
    """An access key, as it is stored.

    Attributes:
        id: The access key ID.
        sealed: The secret, encrypted with a master key.
        who: The person.
        rights: The key's rights.
        since_ms: The Unix time from which it is valid.
        until_ms: The Unix time until which it is valid; 0: without end.
    """

    id: str
    sealed: str
    who: str
    rights: list[Right] = []
    since_ms: float = 0.0
    until_ms: float = 0.0

    def is_valid(self, now_ms: float) -> bool:
        """Return whether the key is valid at a Unix time."""
        return self.since_ms <= now_ms and (not self.until_ms or now_ms < self.until_ms)


class _KeyFile(msgspec.Struct, forbid_unknown_fields=True):
    keys: list[AccessKey]


def is_allowed(rights: Iterable[Right], action: str, volume: str, name: str = "") -> bool:
    """Return whether rights allow an action on an object, or the listing of a prefix (``name``). Pure."""
    return any(
        action in right.allow and fnmatchcase(volume, right.volume) and name.startswith(right.prefix)
        for right in rights
    )


def has_rights_in(rights: Iterable[Right], volume: str) -> bool:
    """Return whether rights allow any action in a volume. Pure."""
    return any(fnmatchcase(volume, right.volume) for right in rights)


def add_master_key(path: Path) -> None:
    """Create a file with a new master key, or add one before the existing ones. Raises AccessKeyFileError."""
    old = read_master_keys(path) if path.exists() else []
    _write(path, b"\n".join([Fernet.generate_key(), *old]) + b"\n")


def read_master_keys(path: Path) -> list[bytes]:
    """Return the master keys in a file, the newest first. Raises AccessKeyFileError."""
    try:
        lines = [line.strip() for line in read_private_file(path).splitlines() if line.strip()]
        for line in lines:
            Fernet(line)
    except PrivateFileError as error:
        raise AccessKeyFileError(f"{error}; 'winchdyke access master' creates one") from error
    except ValueError as error:
        raise AccessKeyFileError(f"{path} is not a file of master keys: {error}") from error
    if not lines:
        raise AccessKeyFileError(f"{path} holds no master key; 'winchdyke access master' adds one")
    return lines


def _read_cipher(master: Path) -> MultiFernet:
    return MultiFernet([Fernet(line) for line in read_master_keys(master)])


def _write(path: Path, data: bytes) -> None:
    try:
        write_private_file(path, data)
    except PrivateFileError as error:
        raise AccessKeyFileError(str(error)) from error


def read_keys(path: Path) -> list[AccessKey]:
    """Return the keys in a file, with sealed secrets. Raises AccessKeyFileError."""
    try:
        keys = msgspec.json.decode(read_private_file(path), type=_KeyFile).keys
    except PrivateFileError as error:
        raise AccessKeyFileError(f"{error}; 'winchdyke access new' creates one") from error
    except msgspec.MsgspecError as error:
        raise AccessKeyFileError(f"{path} is not a file of access keys: {error}") from error
    if len({key.id for key in keys}) != len(keys):
        raise AccessKeyFileError(f"{path}: two keys have the same id; withdraw one of them")
    if unknown_actions := [
        action for key in keys for right in key.rights for action in right.allow if action not in ACTIONS
    ]:
        raise AccessKeyFileError(
            f"{path}: there is no action {unknown_actions[0]!r}; the actions are {', '.join(ACTIONS)}"
        )
    return keys


def write_keys(path: Path, keys: Sequence[AccessKey]) -> None:
    """Replace a file of keys atomically; only its owner may read it. Raises AccessKeyFileError."""
    _write(path, msgspec.json.format(msgspec.json.encode(_KeyFile(list(keys))), indent=2) + b"\n")


def create_key(
    who: str, rights: list[Right], master: Path, now_ms: float, until_ms: float = 0.0
) -> tuple[AccessKey, str]:
    """Return a new key and its secret, which is stored only in sealed form. Raises AccessKeyFileError."""
    secret = secrets.token_urlsafe(30)
    sealed = _read_cipher(master).encrypt(secret.encode()).decode()
    return AccessKey("WD" + secrets.token_hex(9).upper(), sealed, who, rights, now_ms, until_ms), secret


def reseal_keys(keys: Iterable[AccessKey], master: Path) -> list[AccessKey]:
    """Return the keys with secrets sealed with the newest master key. Raises AccessKeyFileError."""
    cipher = _read_cipher(master)
    try:
        return [
            msgspec.structs.replace(key, sealed=cipher.rotate(key.sealed.encode()).decode()) for key in keys
        ]
    except InvalidToken as error:
        raise AccessKeyFileError(
            "a key was sealed with a master key that is not in the file; put that master key back"
        ) from error


class AccessKeyRing:
    """The keys in a file with decrypted secrets; the key file and the master key file are read again when they change."""

    def __init__(self, path: Path, master: Path) -> None:
        self.path, self.master = path, master
        self._key_file = WatchedFile(path, self._decrypt_keys)
        self._master_file = WatchedFile(master, lambda path: read_master_keys(path))
        self._master_keys: list[bytes] = []

    def _decrypt_keys(self, path: Path) -> dict[str, tuple[AccessKey, str]]:
        cipher = _read_cipher(self.master)
        secrets_by_id = {}
        for key in read_keys(path):
            try:
                secrets_by_id[key.id] = key, cipher.decrypt(key.sealed.encode()).decode()
            except InvalidToken as error:
                raise AccessKeyFileError(
                    f"{path}: key {key.id} was sealed with another master key than those in {self.master}"
                ) from error
        return secrets_by_id

    def find(self, key_id: str, now_ms: float) -> tuple[AccessKey, str] | None:
        """Return a key that is valid at a Unix time, and its secret; None if there is none.

        Raises:
            AccessKeyFileError: A file can't be used; then no key is valid.
        """
        try:
            master_keys = self._master_file.get()
            if master_keys != self._master_keys:
                self._master_keys, self._key_file = master_keys, WatchedFile(self.path, self._decrypt_keys)
            found = self._key_file.get().get(key_id)
        except OSError as error:
            raise AccessKeyFileError(
                f"{self.path} or {self.master} can't be read: {error.strerror}"
            ) from error
        return found if found is not None and found[0].is_valid(now_ms) else None
