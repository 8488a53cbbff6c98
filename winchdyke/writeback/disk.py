"""The seam between the log and a disk: the few file operations that the log needs, so that a disk which fails can stand in.

What a disk promises, and all that the log relies on: data that was written before a ``sync`` that returned is there after a
crash, and names are there once ``sync_directory`` has returned. Anything else may be lost, kept, torn at a sector or kept out of
order. A ``sync`` that raised promises nothing, ever: the system may have thrown the data away and call the next one good
(Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC 2020).
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class FolderLockedError(Exception):
    """Another process has the folder."""


class Disk(Protocol):
    """A folder of files. Every method may raise OSError."""

    def file_names(self) -> list[str]:
        """The files there are."""

    def size(self, name: str) -> int:
        """Bytes of a file."""

    def read(self, name: str, offset: int, length: int) -> bytes:
        """Bytes from a place in a file; fewer at its end."""

    def create(self, name: str, size: int) -> None:
        """Make a file with room for so many bytes, that reads as zeros."""

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Put bytes at a place in a file."""

    def sync(self, name: str) -> None:
        """Bring a file's bytes to the disk. Where it raises, what was written since the last one counts as lost."""

    def sync_directory(self) -> None:
        """Bring names that were made or removed to the disk."""

    def rename(self, name: str, new: str) -> None:
        """Give a file another name."""

    def remove(self, name: str) -> None:
        """Take a file away."""

    def close(self) -> None:
        """Let go of all."""


class Folder:
    """A real folder, held by one process at a time. FolderLockedError where another one has it."""

    LOCK_FILE = "lock"

    def __init__(self, path: Path) -> None:
        path.mkdir(parents=True, exist_ok=True, mode=0o700)
        self.path = path
        self._open: dict[str, int] = {}
        self._lock = os.open(path / self.LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            os.close(self._lock)
            raise FolderLockedError(
                f"{path} is in use by another process; one log has one gateway"
            ) from error

    def _file(self, name: str) -> int:
        if name not in self._open:
            self._open[name] = os.open(self.path / name, os.O_RDWR | os.O_CLOEXEC)
        return self._open[name]

    def file_names(self) -> list[str]:
        """The files there are, without the lock."""
        return sorted(each.name for each in self.path.iterdir() if each.name != self.LOCK_FILE)

    def size(self, name: str) -> int:
        """Bytes of a file."""
        return os.fstat(self._file(name)).st_size

    def read(self, name: str, offset: int, length: int) -> bytes:
        """Bytes from a place in a file; fewer at its end."""
        return os.pread(self._file(name), length, offset)

    def create(self, name: str, size: int) -> None:
        """Make a file; its blocks are set aside, so that a full disk shows here and not at a write."""
        descriptor = os.open(self.path / name, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        self._open[name] = descriptor
        os.posix_fallocate(descriptor, 0, size)
        os.fsync(descriptor)  # its size: a sync of data alone need not bring it

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Put bytes at a place in a file."""
        descriptor, view = self._file(name), memoryview(data)
        while view:
            done = os.pwrite(descriptor, view, offset)
            view, offset = view[done:], offset + done

    def sync(self, name: str) -> None:
        """Bring a file's bytes to the disk."""
        os.fdatasync(self._file(name))

    def sync_directory(self) -> None:
        """Bring names to the disk."""
        descriptor = os.open(self.path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, name: str, new: str) -> None:
        """Give a file another name."""
        (self.path / name).rename(self.path / new)
        if name in self._open:
            self._open[new] = self._open.pop(name)

    def remove(self, name: str) -> None:
        """Take a file away."""
        if name in self._open:
            os.close(self._open.pop(name))
        (self.path / name).unlink()

    def close(self) -> None:
        """Close all files and let another process have the folder."""
        for descriptor in self._open.values():
            os.close(descriptor)
        self._open.clear()
        os.close(self._lock)
