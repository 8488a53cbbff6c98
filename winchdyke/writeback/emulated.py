"""A disk in memory that may do all that a real one may: lose what was not synced, in any part and order, tear, fill up, fail.

What is written goes to a list of pending writes; a ``sync`` that returns makes them durable. ``crash`` makes another disk, of
what is durable and of a chosen part of what is pending. A sync that fails drops its file's pending writes and goes on to show them
until the crash, as page caches do. Errors are raised at the operations whose numbers are given, so that every one can be tried.
"""

from __future__ import annotations

import errno
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import product

SECTOR = 512


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """One write that no sync has covered, cut at sectors, so that each may be there or not."""

    name: str
    offset: int
    data: bytes


class SimulatedCrash(Exception):
    """The machine stops here."""


class EmulatedDisk:
    """A folder of files in memory (:class:`winchdyke.writeback.disk.Disk`).

    ``crash_at`` stops at that operation, before it; ``errors`` maps operations' numbers to errno; ``capacity_bytes`` is how many
    bytes files may have in all. ``operations`` counts what changes anything.
    """

    def __init__(
        self,
        crash_at: int | None = None,
        errors: dict[int, int] | None = None,
        capacity_bytes: int | None = None,
    ) -> None:
        self.crash_at, self.errors, self.capacity_bytes = crash_at, errors or {}, capacity_bytes
        self.operations = 0
        self.visible: dict[str, bytearray] = {}  # as a reader finds it now
        self.durable: dict[str, bytearray] = {}  # as it is on the disk
        self.pending_writes: list[PendingWrite] = []
        self.pending_name_changes: list[
            tuple[str, str, str]
        ] = []  # what was done, the name now, the name before

    def _step(self) -> None:
        number, self.operations = self.operations, self.operations + 1
        if self.crash_at is not None and number >= self.crash_at:
            raise SimulatedCrash
        if number in self.errors:
            raise OSError(self.errors[number], "made to fail")

    def file_names(self) -> list[str]:
        """The files there are."""
        return sorted(self.visible)

    def size(self, name: str) -> int:
        """Bytes of a file."""
        return len(self.visible[name])

    def read(self, name: str, offset: int, length: int) -> bytes:
        """Bytes from a place in a file; fewer at its end."""
        return bytes(self.visible[name][offset : offset + length])

    def create(self, name: str, size: int) -> None:
        """Make a file. OSError where there is no room."""
        self._step()
        if name in self.visible:
            raise FileExistsError(errno.EEXIST, name)
        if (
            self.capacity_bytes is not None
            and sum(map(len, self.visible.values())) + size > self.capacity_bytes
        ):
            raise OSError(errno.ENOSPC, "no room")
        self.visible[name], self.durable[name] = bytearray(size), bytearray(size)
        self.pending_name_changes.append(("made", name, ""))

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Put bytes at a place. Where it fails a part of them is written."""
        try:
            self._step()
        except OSError:
            self._put(name, offset, data[: len(data) // 2])
            raise
        self._put(name, offset, data)

    def _put(self, name: str, offset: int, data: bytes) -> None:
        self.visible[name][offset : offset + len(data)] = data
        while data:  # in sectors: each of them is written whole or not at all
            cut = SECTOR - offset % SECTOR
            self.pending_writes.append(PendingWrite(name, offset, data[:cut]))
            data, offset = data[cut:], offset + cut

    def sync(self, name: str) -> None:
        """Make a file's writes durable. Where it fails they are forgotten, and shown until the crash."""
        try:
            self._step()
        except OSError:
            self.pending_writes = [each for each in self.pending_writes if each.name != name]
            raise
        for each in self.pending_writes:
            if each.name == name:
                self.durable[name][each.offset : each.offset + len(each.data)] = each.data
        self.pending_writes = [each for each in self.pending_writes if each.name != name]

    def sync_directory(self) -> None:
        """Make names durable."""
        self._step()
        self.pending_name_changes.clear()

    def rename(self, name: str, new: str) -> None:
        """Give a file another name."""
        self._step()
        self.visible[new], self.durable[new] = self.visible.pop(name), self.durable.pop(name)
        self.pending_writes = [
            PendingWrite(new if p.name == name else p.name, p.offset, p.data) for p in self.pending_writes
        ]
        self.pending_name_changes.append(("renamed", new, name))

    def remove(self, name: str) -> None:
        """Take a file away."""
        self._step()
        del self.visible[name]
        self.pending_name_changes.append(("removed", name, ""))

    def close(self) -> None:
        """Nothing is to be let go of."""

    # After it

    def crash(self, keep: Iterable[bool], keep_names: Iterable[bool]) -> EmulatedDisk:
        """What is found afterwards: of pending writes and names, those that are kept."""
        found = EmulatedDisk()
        files = {name: bytearray(data) for name, data in self.durable.items()}
        for each, kept in zip(self.pending_writes, keep, strict=True):
            if kept and each.name in files:
                files[each.name][each.offset : each.offset + len(each.data)] = each.data
        gone = {name for what, name, _ in self.pending_name_changes if what == "removed"}
        for name in [name for name in files if name not in self.visible and name not in gone]:
            del files[name]  # its removal is durable
        # From the last to the first: what is not kept is taken back.
        for (what, name, before), kept in reversed(
            list(zip(self.pending_name_changes, keep_names, strict=True))
        ):
            if (what == "removed" and kept) or (what == "made" and not kept):
                files.pop(name, None)
            elif what == "renamed" and not kept and name in files:
                files[before] = files.pop(name)
        found.visible = {name: bytearray(data) for name, data in files.items()}
        found.durable = {name: bytearray(data) for name, data in files.items()}
        return found

    def crash_states(self, max_states: int = 256) -> Iterator[EmulatedDisk]:
        """Every disk that may be found after a crash now.

        Beyond ``max_states``, those that keep a first part or leave out one write.
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
