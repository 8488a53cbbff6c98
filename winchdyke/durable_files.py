"""What several parts need of files."""

from __future__ import annotations

import os
import stat
from collections.abc import Callable
from pathlib import Path
from typing import Generic, TypeVar

T = TypeVar("T")


class OwnError(Exception):
    """A file that is to be its owner's alone and can't be used; says what is wrong and what to do."""


def sync_folder(folder: Path) -> None:
    """Bring a folder's own entries to the disk: names that were made, renamed or deleted. OSError."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace(path: Path, data: bytes, new: Path) -> None:
    """Put data in a file's place, owner-only, synced: written to ``new`` beside it, then renamed. OSError."""
    with open(os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    new.replace(path)
    sync_folder(path.parent)


def read_own(path: Path, most: int = 1 << 20) -> bytes:
    """A file that its owner alone may read and write. OwnError where it is not, or can't be read."""
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        with open(descriptor, "rb") as file:
            found = os.fstat(descriptor)
            data = file.read(most)
    except OSError as error:
        raise OwnError(f"{path} can't be read: {error.strerror}") from error
    if not stat.S_ISREG(found.st_mode) or found.st_mode & 0o077 or found.st_uid not in (os.geteuid(), 0):
        raise OwnError(f"{path} must be a file that its owner alone may read and write: chmod 600 {path}")
    return data


def write_own(path: Path, data: bytes) -> None:
    """Write such a file whole: it is never seen half written, nor readable to others. OwnError."""
    try:
        replace(path, data, path.with_name(path.name + f".{os.getpid()}.new"))
    except OSError as error:
        raise OwnError(f"{path} can't be written: {error.strerror}") from error


class Watched(Generic[T]):
    """What is read from a file, read anew when the file changes; what can't be read counts for nothing until it can."""

    def __init__(self, path: Path, read: Callable[[Path], T]) -> None:
        self.path, self._read = path, read
        self._stamp: tuple[int, ...] = ()
        self._value: T | None = None

    def get(self) -> T:
        """The present value. OSError, or what ``read`` raises."""
        found = self.path.stat()
        stamp = (found.st_mtime_ns, found.st_ino, found.st_size, found.st_mode, found.st_uid)
        if stamp != self._stamp or self._value is None:
            self._value, self._stamp = None, ()
            self._value = self._read(self.path)
            self._stamp = stamp
        return self._value
