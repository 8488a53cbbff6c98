"""Bodies that may have to be sent again: kept in memory up to a size, beyond it in a temporary file.

All bodies together stay under one bound, counted before a body is read; where it is full a request is refused
before its body is asked for.
"""

from __future__ import annotations

import os
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import IO

import anyio.to_thread

from winchdyke.http1 import Bytes

BATCH = 1 << 20  # bytes handed to a file at once, off the event loop
WRITERS = ThreadPoolExecutor(4, thread_name_prefix="winchdyke-body")


def _write(file: IO[bytes], chunks: list[Bytes]) -> None:
    left = sum(len(chunk) for chunk in chunks)
    done = os.writev(file.fileno(), chunks)
    if done < left:  # a file takes all but where the disk is full; then this raises
        rest = b"".join(chunks)[done:]
        while rest:
            rest = rest[os.write(file.fileno(), rest) :]


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
        self, read: Callable[[], Awaitable[Bytes]], length: int | None, store: BodyStore, keep: bool = True
    ) -> None:
        self._read, self.length, self._store, self._keep = read, length, store, keep
        self._room = length or 0 if keep else 0
        store.take(self._room)
        self._memory = bytearray()
        self._file: IO[bytes] | None = None
        self._pending: list[Bytes] = []  # for the file, not yet handed over
        self._pending_size = 0
        self._writing: Future[None] | None = (
            None  # at most one batch is being written while the next one comes
        )
        self.got, self.whole = 0, length == 0

    async def _more(self) -> Bytes:
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
                self._file = tempfile.TemporaryFile(prefix="winchdyke-body-", buffering=0)  # noqa: SIM115
            except OSError as error:
                raise BodyStoreFull from error
        self._pending.append(data)
        self._pending_size += len(data)
        if self._pending_size >= BATCH:
            await self._written()
            self._writing = WRITERS.submit(_write, self._file, self._pending)
            self._pending, self._pending_size = [], 0
        return data

    async def _written(self) -> None:
        """Wait until what was handed over is in the file."""
        writing, self._writing = self._writing, None
        if writing is None:
            return
        try:
            if writing.done():
                writing.result()
            else:
                await anyio.to_thread.run_sync(writing.result)
        except OSError as error:
            raise BodyStoreFull from error

    async def chunks(self) -> AsyncIterator[Bytes]:
        """The body from its start: what is kept, then what still comes."""
        if self.got and not self._keep:
            raise BodyStoreFull
        if self._memory:
            yield bytes(self._memory)
        at = len(self._memory)
        if self._file is not None and at < self.got:
            await self._written()
            if self._pending:
                self._writing = WRITERS.submit(_write, self._file, self._pending)
                self._pending, self._pending_size = [], 0
                await self._written()
            self._file.seek(0)
            left = self.got - at
            while left:
                kept = await anyio.to_thread.run_sync(self._file.read, min(BATCH, left))
                left -= len(kept)
                yield kept
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
        file, self._file = self._file, None
        if file is not None:
            # A batch may still be under way in a thread: the file is closed after it.
            WRITERS.submit(file.close) if self._writing is None else self._writing.add_done_callback(
                lambda _: file.close()
            )
