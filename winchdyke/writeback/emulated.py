"""An emulated disk for crash tests: loses unsynced data in any part and order, tears writes, fills up and fails.

A write is added to a list of pending writes; a ``sync`` that returns makes them durable. ``crash`` returns another disk with
the durable data and a chosen part of the pending writes. A ``sync`` that fails drops the pending writes of its file, but
reads still return them until the crash, as from a page cache. Errors are raised at the operations whose numbers are given,
so that a test can make each operation fail in turn.
"""

from __future__ import annotations

import errno
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import product

SECTOR = 512


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """The part of an unsynced write within one sector; a crash keeps it whole or loses it."""

    name: str
    offset: int
    data: bytes


class SimulatedCrash(Exception):
    """The emulated machine crashes at this operation."""


class EmulatedDisk:
    """A folder of files in memory (:class:`winchdyke.writeback.disk.Disk`).

    Attributes:
        crash_at: The number of the operation before which the machine crashes; None for no crash.
        errors: The errno with which an operation fails, by the operation's number.
        capacity_bytes: The total size that files may have; None for no bound.
        operations: How many operations have changed the disk, or tried to.
        visible: Contents of files as a reader sees them now.
        durable: Contents of files that survive a crash.
        pending_name_changes: The unsynced changes to names: "made", "renamed" or "removed", the name, the former name.
    """

    def __init__(
        self,
        crash_at: int | None = None,
        errors: dict[int, int] | None = None,
        capacity_bytes: int | None = None,
    ) -> None:
        self.crash_at, self.errors, self.capacity_bytes = crash_at, errors or {}, capacity_bytes
        self.operations = 0
        self.visible: dict[str, bytearray] = {}
        self.durable: dict[str, bytearray] = {}
        self.pending_writes: list[PendingWrite] = []
        self.pending_name_changes: list[tuple[str, str, str]] = []

    def _count_operation(self) -> None:
        number, self.operations = self.operations, self.operations + 1
        if self.crash_at is not None and number >= self.crash_at:
            raise SimulatedCrash
        if number in self.errors:
            raise OSError(self.errors[number], "injected error")

    def file_names(self) -> list[str]:
        """Returns the names of all files."""
        return sorted(self.visible)

    def size(self, name: str) -> int:
        """Returns the size of a file in bytes."""
        return len(self.visible[name])

    def read(self, name: str, offset: int, length: int) -> bytes:
        """Returns ``length`` bytes from an offset; fewer at the end of the file."""
        return bytes(self.visible[name][offset : offset + length])

    def create(self, name: str, size: int) -> None:
        """Creates a file. Raises OSError if the disk has too little space."""
        self._count_operation()
        if name in self.visible:
            raise FileExistsError(errno.EEXIST, name)
        if (
            self.capacity_bytes is not None
            and sum(map(len, self.visible.values())) + size > self.capacity_bytes
        ):
            raise OSError(errno.ENOSPC, "no space left on the emulated disk")
        self.visible[name], self.durable[name] = bytearray(size), bytearray(size)
        self.pending_name_changes.append(("made", name, ""))

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Writes data at an offset. If this operation fails, the first half of the data is written."""
        try:
            self._count_operation()
        except OSError:
            self._put(name, offset, data[: len(data) // 2])
            raise
        self._put(name, offset, data)

    def _put(self, name: str, offset: int, data: bytes) -> None:
        self.visible[name][offset : offset + len(data)] = data
        while data:  # split by sector, because a crash keeps or loses whole sectors
            cut = SECTOR - offset % SECTOR
            self.pending_writes.append(PendingWrite(name, offset, data[:cut]))
            data, offset = data[cut:], offset + cut

    def sync(self, name: str) -> None:
        """Makes a file's writes durable. If this operation fails they are lost, but visible until the crash."""
        try:
            self._count_operation()
        except OSError:
            self.pending_writes = [each for each in self.pending_writes if each.name != name]
            raise
        for each in self.pending_writes:
            if each.name == name:
                self.durable[name][each.offset : each.offset + len(each.data)] = each.data
        self.pending_writes = [each for each in self.pending_writes if each.name != name]

    def sync_directory(self) -> None:
        """Makes all changes to file names durable."""
        self._count_operation()
        self.pending_name_changes.clear()

    def rename(self, name: str, new: str) -> None:
        """Renames a file."""
        self._count_operation()
        self.visible[new], self.durable[new] = self.visible.pop(name), self.durable.pop(name)
        self.pending_writes = [
            PendingWrite(new if p.name == name else p.name, p.offset, p.data) for p in self.pending_writes
        ]
        self.pending_name_changes.append(("renamed", new, name))

    def remove(self, name: str) -> None:
        """Removes a file."""
        self._count_operation()
        del self.visible[name]
        self.pending_name_changes.append(("removed", name, ""))

    def close(self) -> None:
        """Does nothing: there are no resources to release."""

    # States after a crash

    def crash(self, keep: Iterable[bool], keep_names: Iterable[bool]) -> EmulatedDisk:
        """Returns the disk after a crash that keeps the chosen pending writes and changes of names."""
        disk = EmulatedDisk()
        files = {name: bytearray(data) for name, data in self.durable.items()}
        for each, kept in zip(self.pending_writes, keep, strict=True):
            if kept and each.name in files:
                files[each.name][each.offset : each.offset + len(each.data)] = each.data
        gone = {name for what, name, _ in self.pending_name_changes if what == "removed"}
        for name in [name for name in files if name not in self.visible and name not in gone]:
            del files[name]  # its removal was synced
        # Lost changes of names are undone, the last one first.
        for (what, name, before), kept in reversed(
            list(zip(self.pending_name_changes, keep_names, strict=True))
        ):
            if (what == "removed" and kept) or (what == "made" and not kept):
                files.pop(name, None)
            elif what == "renamed" and not kept and name in files:
                files[before] = files.pop(name)
        disk.visible = {name: bytearray(data) for name, data in files.items()}
        disk.durable = {name: bytearray(data) for name, data in files.items()}
        return disk

    def crash_states(self, max_states: int = 256) -> Iterator[EmulatedDisk]:
        """Yields every disk that a crash may leave now.

        With more than ``max_states`` combinations of pending writes: only those that keep a prefix of them, and those that
        lose a single one.
        """
        names = list(product((True, False), repeat=len(self.pending_name_changes)))
        count = len(self.pending_writes)
        if 2**count <= max_states:
            writes = list(product((True, False), repeat=count))
        else:
            writes = [tuple(at < first for at in range(count)) for first in range(count + 1)]
            writes += [tuple(at != left for at in range(count)) for left in range(count)]
        for keep_names in names:
            for keep in writes:
                yield self.crash(keep, keep_names)
