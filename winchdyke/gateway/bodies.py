"""Bodies that may have to be sent again: kept in memory up to a size, beyond it in a temporary file.

All bodies together stay under one bound, counted before a body is read; where it is full a request is refused
before its body is asked for.
"""

from __future__ import annotations

import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import IO

import anyio.to_thread

BATCH = 1 << 20  # bytes handed to a file at once, off the event loop


class BodyStoreFull(Exception):
    """No room is left for bodies."""


class BodyStore:
    """The bound on all kept bodies together, in bytes."""

    def __init__(self, most: int, memory_each: int) -> None:
        self.most, self.memory_each, self.used = most, memory_each, 0

    def take(self, size: int) -> None:
        """Set room aside; BodyStoreFull where there is none."""
        if self.used + size > self.most:
            raise BodyStoreFull
        self.used += size

    def give_back(self, size: int) -> None:
        """Free room."""
        self.used -= size


class ReplayBody:
    """A request's body, read from the client once and given out any number of times from its start.

    ``read`` gives the next bytes, empty at the end. A chunked body (``length`` None) takes room as it comes.
    """

    def __init__(
        self, read: Callable[[], Awaitable[bytes]], length: int | None, store: BodyStore, keep: bool = True
    ) -> None:
        self._read, self.length, self._store, self._keep = read, length, store, keep
        self._room = length or 0 if keep else 0
        store.take(self._room)
        self._memory = bytearray()
        self._file: IO[bytes] | None = None
        self._pending = bytearray()  # for the file, not yet written
        self.got, self.whole = 0, length == 0
        self.started = False

    async def _more(self) -> bytes:
        self.started = True
        data = await self._read()
        if not data:
            self.whole = True
            return b""
        self.got += len(data)
        if not self._keep:
            return data
        if self.got > self._room:
            self._store.take(self.got - self._room)
            self._room = self.got
        if self._file is None and self.got <= self._store.memory_each:
            self._memory += data
            return data
        if self._file is None:
            try:
                self._file = tempfile.TemporaryFile(prefix="winchdyke-body-")  # noqa: SIM115
            except OSError as error:
                raise BodyStoreFull from error
        self._pending += data
        if len(self._pending) >= BATCH:
            await self._flush()
        return data

    async def _flush(self) -> None:
        assert self._file is not None
        batch, self._pending = self._pending, bytearray()
        try:
            await anyio.to_thread.run_sync(self._file.write, batch)
        except OSError as error:
            raise BodyStoreFull from error

    async def chunks(self) -> AsyncIterator[bytes]:
        """The body from its start: what is kept, then what still comes."""
        if self.got and not self._keep:
            raise BodyStoreFull
        if self._memory:
            yield bytes(self._memory)
        at = len(self._memory)
        if self._file is not None and at < self.got:
            if self._pending:
                await self._flush()
            self._file.seek(0)
            left = self.got - at
            while left:
                data = await anyio.to_thread.run_sync(self._file.read, min(BATCH, left))
                left -= len(data)
                yield data
            self._file.seek(0, 2)
        while not self.whole:
            data = await self._more()
            if data:
                yield data

    @property
    def in_memory(self) -> bytes | None:
        """The whole body where it is at hand without reading; else None."""
        return bytes(self._memory) if self.whole and self._file is None and self._keep else None

    def close(self) -> None:
        """Let go of all that is kept."""
        self._store.give_back(self._room)
        self._room, self._keep = 0, False
        self._memory.clear()
        self._pending.clear()
        if self._file is not None:
            self._file.close()
            self._file = None
