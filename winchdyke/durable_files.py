"""Durable replacement of files, and files that only their owner may access.

Public names: :func:`sync_directory`, :func:`replace_file`, :func:`read_private_file`, :func:`write_private_file`,
:class:`WatchedFile`, :class:`PrivateFileError`. Imports nothing of the project.
"""

from __future__ import annotations

import os
import stat
from collections.abc import Callable
from pathlib import Path
from typing import Generic, TypeVar

T = TypeVar("T")

MAX_PRIVATE_FILE_BYTES = 1 << 20
ACCESSIBLE_TO_OTHERS = 0o077


class PrivateFileError(Exception):
    """A private file can't be used; the text gives the reason and the remedy."""


def sync_directory(directory: Path) -> None:
    """Flush a directory's entries (files created, renamed or deleted) to the disk. Raises OSError."""
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, data: bytes, temporary: Path) -> None:
    """Replace a file atomically and durably: write ``temporary`` (mode 0600), then rename it. Raises OSError."""
    with open(os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_directory(path.parent)


def read_private_file(path: Path, max_bytes: int = MAX_PRIVATE_FILE_BYTES) -> bytes:
    """Read a file that only its owner may access, up to ``max_bytes``.

    Raises:
        PrivateFileError: Others may access it, or it can't be read.
    """
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        with open(descriptor, "rb") as file:
            status = os.fstat(descriptor)
            data = file.read(max_bytes)
    except OSError as error:
        raise PrivateFileError(f"{path} can't be read: {error.strerror}") from error
    is_regular = stat.S_ISREG(status.st_mode)
    is_owned = status.st_uid in (os.geteuid(), 0)
    if not is_regular or status.st_mode & ACCESSIBLE_TO_OTHERS or not is_owned:
        raise PrivateFileError(
            f"{path} must be a file that its owner alone may read and write: chmod 600 {path}"
        )
    return data


def write_private_file(path: Path, data: bytes) -> None:
    """Replace a private file's content atomically and durably.

    Raises:
        PrivateFileError: It can't be written.
    """
    try:
        replace_file(path, data, path.with_name(f"{path.name}.{os.getpid()}.new"))
    except OSError as error:
        raise PrivateFileError(f"{path} can't be written: {error.strerror}") from error


class WatchedFile(Generic[T]):
    """A value read from a file and reread when the file changes; if that fails, no earlier value is returned."""

    def __init__(self, path: Path, read: Callable[[Path], T]) -> None:
        self.path = path
        self._read = read
        self._version: tuple[int, ...] = ()
        self._value: T | None = None

    def get(self) -> T:
        """Return the current value. Raises OSError, or any error of ``read``."""
        status = self.path.stat()
        version = (status.st_mtime_ns, status.st_ino, status.st_size, status.st_mode, status.st_uid)
        if version != self._version or self._value is None:
            self._value = None
            self._version = ()
            self._value = self._read(self.path)
            self._version = version
        return self._value
