"""The file operations that the log needs, as an interface, so that crash tests can replace the disk by an emulated one.

The log relies on these guarantees alone: data written before a ``sync`` that returned survives a crash, and so do file
names once ``sync_directory`` has returned. Any other data may be lost, kept, torn at a sector or written out of order. A
``sync`` that raised guarantees nothing, and no later one does for the same data: the system may have dropped the data and
then report success (Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC 2020).
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class FolderLockedError(Exception):
    """Another process holds the lock of the folder."""


class Disk(Protocol):
    """A folder of files. Every method may raise OSError."""

    def file_names(self) -> list[str]:
        """Returns the names of all files."""

    def size(self, name: str) -> int:
        """Returns the size of a file in bytes."""

    def read(self, name: str, offset: int, length: int) -> bytes:
        """Returns ``length`` bytes from an offset; fewer at the end of the file."""

    def create(self, name: str, size: int) -> None:
        """Creates a file of ``size`` bytes, all zeros."""

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Writes data at an offset of a file."""

    def sync(self, name: str) -> None:
        """Makes a file's data durable. If it raises, data written since the last sync counts as lost."""

    def sync_directory(self) -> None:
        """Makes the creation, renaming and removal of files durable."""

    def rename(self, name: str, new: str) -> None:
        """Renames a file."""

    def remove(self, name: str) -> None:
        """Removes a file."""

    def close(self) -> None:
        """Closes all files."""


class Folder:
    """A folder on a real disk, locked by one process at a time.

    Raises:
        FolderLockedError: Another process holds the lock.
    """

    LOCK_FILE = "lock"

    def __init__(self, path: Path) -> None:
        path.mkdir(parents=True, exist_ok=True, mode=0o700)
        self.path = path
        self._descriptors: dict[str, int] = {}
        self._lock_descriptor = os.open(path / self.LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            os.close(self._lock_descriptor)
            raise FolderLockedError(
                f"{path} is in use by another process; each gateway needs a log folder of its own"
            ) from error

    def _descriptor(self, name: str) -> int:
        if name not in self._descriptors:
            self._descriptors[name] = os.open(self.path / name, os.O_RDWR | os.O_CLOEXEC)
        return self._descriptors[name]

    def file_names(self) -> list[str]:
        """Returns the names of all files except the lock file."""
        return sorted(file.name for file in self.path.iterdir() if file.name != self.LOCK_FILE)

    def size(self, name: str) -> int:
        """Returns the size of a file in bytes."""
        return os.fstat(self._descriptor(name)).st_size

    def read(self, name: str, offset: int, length: int) -> bytes:
        """Returns ``length`` bytes from an offset; fewer at the end of the file."""
        return os.pread(self._descriptor(name), length, offset)

    def create(self, name: str, size: int) -> None:
        """Creates a file and allocates its blocks, so that a full disk raises here and not at a write."""
        descriptor = os.open(self.path / name, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        self._descriptors[name] = descriptor
        os.posix_fallocate(descriptor, 0, size)
        os.fsync(descriptor)  # fdatasync alone need not make the file size durable

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Writes data at an offset of a file."""
        descriptor, view = self._descriptor(name), memoryview(data)
        while view:
            written = os.pwrite(descriptor, view, offset)
            view, offset = view[written:], offset + written

    def sync(self, name: str) -> None:
        """Makes a file's data durable."""
        os.fdatasync(self._descriptor(name))

    def sync_directory(self) -> None:
        """Makes the creation, renaming and removal of files durable."""
        descriptor = os.open(self.path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, name: str, new: str) -> None:
        """Renames a file."""
        (self.path / name).rename(self.path / new)
        if name in self._descriptors:
            self._descriptors[new] = self._descriptors.pop(name)

    def remove(self, name: str) -> None:
        """Removes a file."""
        if name in self._descriptors:
            os.close(self._descriptors.pop(name))
        (self.path / name).unlink()

    def close(self) -> None:
        """Closes all files and releases the lock."""
        for descriptor in self._descriptors.values():
            os.close(descriptor)
        self._descriptors.clear()
        os.close(self._lock_descriptor)
